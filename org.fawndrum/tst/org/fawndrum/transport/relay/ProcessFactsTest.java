// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ProcessFactsTest {
  @Test
  void theProcessIsOlderThanItsTestsAndHasUsedProcessorTime() throws Exception {
    ProcessFacts facts = ProcessFacts.read();
    assertTrue(facts.ageMs() > 0, facts.toString());
    assertTrue(facts.processorMs() > 0, facts.toString());
  }

  @Test
  void onlyArchivesOfClassesAreListed() throws Exception {
    ProcessFacts facts = ProcessFacts.read();
    assertTrue(
        facts.classArchives().stream().allMatch(name -> name.endsWith(".jsa")), facts.toString());
  }
}
