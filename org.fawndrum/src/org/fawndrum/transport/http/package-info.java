// SPDX-License-Identifier: Apache-2.0
/**
 * The HTTP clients with which a host sends requests, and what their connections check of each
 * answer before anybody reads it.
 */
package org.fawndrum.transport.http;
