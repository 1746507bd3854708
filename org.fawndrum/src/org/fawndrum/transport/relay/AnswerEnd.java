// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fawndrum.errors.AnswerIncompleteException;
import org.fawndrum.errors.SecondAnswerException;
import org.fawndrum.transport.proxy.AnswerFraming;

/**
 * Decides whether the answer of one attempt is whole when it ends, and why it is not. Only the
 * first end that is reported counts: the HTTP client reports that of a lost connection as the end
 * of the answer, too. Confined to one event loop.
 */
final class AnswerEnd implements AnswerReader.Flaws {
  private final AttemptPath path;
  private final BiConsumer<String, AttemptPath.EndCheck> onChecked;
  private final Consumer<Throwable> onBrokenOff;
  private final Consumer<EndpointPaths.Loss> onLost;
  private boolean reported;
  private boolean stopped;

  /**
   * Creates the end of an attempt.
   *
   * @param path the way to its endpoint
   * @param onChecked called with the endpoint's name and what was found when the answer had ended
   *     with its connection
   * @param onBrokenOff called at once when the attempt cannot succeed any more
   * @param onLost called later, with the reason
   */
  AnswerEnd(
      AttemptPath path,
      BiConsumer<String, AttemptPath.EndCheck> onChecked,
      Consumer<Throwable> onBrokenOff,
      Consumer<EndpointPaths.Loss> onLost) {
    this.path = path;
    this.onChecked = onChecked;
    this.onBrokenOff = onBrokenOff;
    this.onLost = onLost;
  }

  /** Reports that the connection was lost, maybe before there was an answer. */
  void lost(Throwable cause) {
    if (!reported) {
      reported = true;
      brokenOff(cause);
    }
  }

  @Override
  public void endedEarly() {
    lost(new AnswerIncompleteException(path.endpointName()));
  }

  @Override
  public void secondAnswerFound() {
    lost(new SecondAnswerException(path.endpointName()));
    path.reset();
  }

  /**
   * Reports that the answer ended. One that ends with its connection is whole only if an endpoint
   * that goes on closed it in order (RFC 9112, section 8): the connections of a process that was
   * killed are closed in order, too. Where nothing proves that it goes on, the answer is not whole.
   *
   * @param onWhole called if the answer is whole; at once if its framing says so
   */
  void ended(AnswerFraming framing, Runnable onWhole) {
    if (reported) {
      return;
    }
    reported = true;
    if (framing == AnswerFraming.CONNECTION) {
      path.checkEnd().onSuccess(check -> checked(check, onWhole));
    } else {
      onWhole.run();
    }
  }

  private void checked(AttemptPath.EndCheck check, Runnable onWhole) {
    if (stopped) {
      return;
    }
    onChecked.accept(path.endpointName(), check);
    if (check.whole()) {
      onWhole.run();
    } else {
      brokenOff(new AnswerIncompleteException(path.endpointName()));
    }
  }

  private void brokenOff(Throwable cause) {
    onBrokenOff.accept(cause);
    path.whyLost(cause).onSuccess(this::lostBecause);
  }

  private void lostBecause(EndpointPaths.Loss loss) {
    if (!stopped) {
      onLost.accept(loss);
    }
  }

  /** Reports nothing from now on, because the attempt has ended. */
  void stop() {
    reported = true;
    stopped = true;
  }
}
