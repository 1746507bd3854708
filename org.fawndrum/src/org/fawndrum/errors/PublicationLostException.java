// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.PublicationOutcome.Conflict;

/** A publication was rejected because another one changed the same cells first. */
public final class PublicationLostException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final transient List<Conflict> conflicts;

  /** Creates the exception for one publication. */
  public PublicationLostException(String publicationId, List<Conflict> conflicts) {
    super(MessageText.PUBLICATION_LOST, publicationId, describe(conflicts));
    this.conflicts = List.copyOf(conflicts);
  }

  private static String describe(List<Conflict> conflicts) {
    return conflicts.stream()
        .map(
            conflict ->
                conflict.key()
                    + " was set to '"
                    + conflict.current().value()
                    + "' by "
                    + conflict.current().operator()
                    + " at "
                    + conflict.current().offset())
        .collect(Collectors.joining("; "));
  }

  /** Returns the conflicting cells. */
  public List<Conflict> conflicts() {
    return conflicts;
  }
}
