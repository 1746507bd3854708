// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AnnotatedElementContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDirFactory;

/** Creates test folders below the build's output, so that those of failed tests are kept. */
final class KeptFolders implements TempDirFactory {
  private static final Path FAILED = Path.of("..", "target", "org.fawndrum.soak", "failed");

  @Override
  public Path createTempDirectory(AnnotatedElementContext element, ExtensionContext test)
      throws IOException {
    Path folder = Files.createDirectories(FAILED).toRealPath();
    return Files.createTempDirectory(folder, test.getRequiredTestMethod().getName() + "-");
  }
}
