// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

import org.jboss.logging.Logger.Level;

/**
 * A log message with its level. An id never changes and is never reused for another message, since
 * tools match messages by id.
 */
public enum LogEvent {
  HOST_STARTED(1, Level.INFO, "host {0} started in availability zone {1}"),
  HOST_READY(2, Level.INFO, "ready: table revision {0}, {1} endpoints"),
  DRAIN_STARTED(
      3, Level.INFO, "drain started: {0} requests in progress; the stop signal may be {1} ms old"),
  DRAIN_COMPLETED(4, Level.INFO, "drain completed: {0}"),
  SECOND_SIGNAL(5, Level.WARN, "second stop signal: aborting {0} requests in progress"),
  SETTINGS_UNCHANGED(6, Level.INFO, "settings reloaded; nothing changed"),
  SETTINGS_RELOADED(
      7, Level.INFO, "settings reloaded; the settings that may change at run time are applied"),
  SETTINGS_NOT_LOADED(8, Level.WARN, "settings not loaded, keeping the current ones: {0}"),
  HOST_STARTING(9, Level.INFO, "host {0} is starting; settings loaded"),
  DUTY_FAILED(10, Level.ERROR, "uncaught exception in duty {0}"),
  EVENT_RING_FULL(
      11, Level.WARN, "event ring of duty {0} is full; the event is offered again later"),
  TABLE_IN_FORCE(20, Level.INFO, "table revision {0} in force"),
  LOG_GAP(
      21,
      Level.WARN,
      "log starts at offset {0}, after missing records; waiting for a snapshot from position {1} on"),
  RECORD_SKIPPED(22, Level.WARN, "log record {0} is unreadable and was skipped"),
  SNAPSHOT_APPENDED(23, Level.INFO, "snapshot of position {0} appended at offset {1}"),
  STORE_RECORDS_EXPIRED(
      24,
      Level.WARN,
      "records of topic {0} from offset {1} on have expired; reading the newest record of each key"),
  PLATFORM_UNAVAILABLE(30, Level.WARN, "platform unavailable: {0}"),
  PLATFORM_AVAILABLE(31, Level.INFO, "platform available again"),
  PEER_ALIVE(40, Level.INFO, "peer {0} is alive"),
  PEER_SUSPECTED(41, Level.WARN, "peer {0} is suspected: no message for {1} ms"),
  PEER_MESSAGE_DROPPED(42, Level.WARN, "peer message dropped: {0}"),
  PEER_STATE_UNAVAILABLE(43, Level.INFO, "peer {0} provided no cached store state: {1}"),
  ZONE_LEADER_CHANGED(44, Level.INFO, "peer {0} is now the leader of zone {1}"),
  REQUEST_DECIDED(50, Level.DEBUG, "{0} {1} {2}"),
  REQUEST_REFUSED(51, Level.INFO, "request refused: {0}, ran: {1}"),
  ATTEMPT_FAILED(52, Level.WARN, "attempt {0} on endpoint {1} failed"),
  MEMORY_REQUEST_FAILED(54, Level.WARN, "memory request for ticket {0} failed: {1}"),
  DECISION(55, Level.INFO, "{0}"),
  REFUSED_BEFORE_DECISION(56, Level.INFO, "{0}"),
  LINES_SUPPRESSED(57, Level.WARN, "log lines suppressed: {0} about failures, {1} about successes"),
  STREAM_COMPLETED(58, Level.INFO, "{0}"),
  ENGINE_SILENT(59, Level.WARN, "{0}"),
  STREAMS_SWEPT(60, Level.INFO, "endpoint {0}: freed {1} orphaned streams of host {2}"),
  HOST_REGISTERED(61, Level.INFO, "registered for requests that must not be repeated, as {0}"),
  CLAIMS_HANDED_OVER(62, Level.INFO, "{0} claims handed over to {1} peers"),
  MEMORY_RELEASED(63, Level.INFO, "{0}"),
  ENTRY_UNUSABLE(64, Level.WARN, "entry of endpoint {0} at offset {1} is unusable: {2}"),
  ENDPOINT_RESTARTED(65, Level.INFO, "endpoint {0} reported that it restarted"),
  ENDPOINT_CRASHED(66, Level.WARN, "{0}"),
  REQUEST_CRASHES_ENDPOINTS(
      67, Level.WARN, "request {0} rejected: endpoints crashed while they had it: {1}"),
  HOST_SUSPENDED(68, Level.WARN, "this host was suspended for {0} ms"),
  REJECTION_CLEARED(69, Level.INFO, "rejection of request {0} cleared by the settings"),
  OPERATOR_PUBLISHED(70, Level.INFO, "operator {0} published {1}: {2}"),
  ENDPOINT_NOTICE(
      71,
      Level.INFO,
      "endpoint {0} sent a notice: shutting down: {1}, backoff: {2} ms, accepts {3} requests/s"),
  ENDPOINT_DRAINING(
      72, Level.INFO, "endpoint {0} is shutting down and gets no more requests; reported by {1}"),
  STORE_RESTORED(
      73,
      Level.WARN,
      "topic {0} was restored from a copy: epoch {2} follows {1}; reading the newest records"),
  INCARNATION_UNCERTAIN(
      74,
      Level.INFO,
      "endpoint incarnation {0} may be the one that announced its shutdown; probing it before use"),
  REQUEST_NOT_REJECTED(
      75, Level.INFO, "request {0} not rejected although endpoints crashed while they had it: {1}"),
  ENDPOINT_RATE(
      76,
      Level.INFO,
      "endpoint {0} accepts {1} requests/s from all hosts together, as reported by {2}"),
  PERMITS_ISSUED(
      77,
      Level.INFO,
      "this host issues permits for endpoint {0}, which accepts {1} requests/s; its part is {2}"),
  ZONE_DRAINED(
      91,
      Level.INFO,
      "zone {0} is drained, its endpoints get no new requests; epoch {1}, offset {2}, from {3}"),
  ZONE_TAKEN_BACK(92, Level.INFO, "zone {0} is no longer drained; epoch {1}, offset {2}, from {3}"),
  SLOW_READER(85, Level.WARN, "{0}"),
  ENDPOINT_STARTING(
      93,
      Level.INFO,
      "endpoint {0} is starting for {1} ms more and accepts {2} requests/s meanwhile; known from {3}"),
  ENDPOINTS_STARTED(94, Level.INFO, "endpoints have started and accept any rate: {0}"),
  CONNECT_FAILED(
      95,
      Level.WARN,
      "no connection to endpoint {0}: {1}; number of endpoints to which the last one failed: {2}"),
  LINK_LOST(
      96,
      Level.WARN,
      "this host has lost its link to endpoint {0}; requests go through other hosts; lost links: {1}"),
  LINK_RESTORED(
      97, Level.INFO, "link to endpoint {0} is intact again after {1} ms; lost links: {2}"),
  REQUEST_SENT_THROUGH(98, Level.INFO, "request {0} to endpoint {1} goes through host {2}"),
  REQUEST_PROXIED(99, Level.INFO, "request {0} of host {1} goes through this host to endpoint {2}"),
  ANSWER_BROKEN_OFF(100, Level.WARN, "{0}"),
  PART_CRASHES_ENDPOINTS(
      101,
      Level.WARN,
      "requests with part {0} in their prompts rejected: endpoints crashed as answers to them began: {1}"),
  PART_SOUND(
      102,
      Level.INFO,
      "part {0} of prompts is sound: an answer on it began {1} ms ago and its endpoint goes on"),
  ANSWER_END_CHECKED(103, Level.INFO, "{0}"),
  STORE_PAGE_UNREADABLE(
      104,
      Level.WARN,
      "topic {0}: no record can be read at offset {1}; reading the newest records"),
  TABLE_RECEIVED(
      105,
      Level.INFO,
      "table revision {0} came from {1}; until then the last evidence on the table was {2} ms old"),
  HOST_SERVES(
      106,
      Level.INFO,
      "host {0} has its configuration and its endpoints {1} ms after the start of its process, {2} ms of processor time used; archives of classes: {3}"),
  PEERS_ALIVE(107, Level.INFO, "peers {0} are alive"),
  ANSWER_DOUBTFUL(108, Level.WARN, "{0}"),
  ISSUING_PERMITTED(
      117,
      Level.INFO,
      "this host may issue permits from now on: other hosts known {0}, seeds never heard {1}"),
  HOST_LATE(118, Level.WARN, "this host does its own work late, usually by {0} ms"),
  HOST_IN_TIME(119, Level.INFO, "this host does its own work in time again, usually {0} ms late"),
  FAILED_ATTEMPT(120, Level.WARN, "{0}");

  /** Added to a number before formatting, so that the id has four digits with leading zeros. */
  private static final int FOUR_DIGITS = 10_000;

  private final String id;
  private final Level level;
  private final String pattern;

  LogEvent(int number, Level level, String pattern) {
    this.id = "FAWN" + Integer.toString(FOUR_DIGITS + number).substring(1);
    this.level = level;
    this.pattern = pattern;
  }

  /** Returns the id, {@code FAWN} and four digits, such as {@code FAWN0020}. */
  public String id() {
    return id;
  }

  /** Returns the level at which the message is logged. */
  public Level level() {
    return level;
  }

  /** Returns the message pattern with the placeholders {@code {0}}, {@code {1}} and so on. */
  public String pattern() {
    return pattern;
  }
}
