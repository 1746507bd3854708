// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.fawndrum.internal.text.MessageText;
import org.fawndrum.settings.SettingsFault;

/** A settings file is invalid; the message lists all its errors. */
public final class BadSettingsException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final transient List<SettingsFault> faults;

  /** Creates the exception for one file. */
  public BadSettingsException(String file, List<SettingsFault> faults) {
    super(
        MessageText.BAD_SETTINGS,
        file,
        faults.stream().map(SettingsFault::toString).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns all errors of the file. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
