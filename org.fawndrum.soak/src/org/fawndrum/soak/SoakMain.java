// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Plays seeds one after the other. Exit codes: 0 none broke a promise, 1 one did, 2 usage. */
public final class SoakMain {
  private static final int BROKEN = 1;
  private static final int USAGE = 2;
  private static final long MS_PER_SECOND = 1_000;

  @Option(name = "--from", usage = "the first seed")
  private long from = 1;

  @Option(name = "--seeds", usage = "how many seeds")
  private int seeds = 1;

  @Option(name = "--seconds", usage = "how long faults come in each")
  private int seconds = 20;

  @Option(name = "--hosts", usage = "how many daemons")
  private int hosts = 4;

  @Option(name = "--calm", usage = "no faults, to see what daemons cost")
  private boolean calm;

  @Option(
      name = "--kinds",
      usage = "the faults of a seed as it was first played: 1 to 3, or 4 for all")
  private int generation = Fault.GENERATIONS.size();

  @Option(name = "--keep", usage = "where settings and logs of the daemons are kept")
  private Path keep = Path.of("target", "soak");

  private SoakMain() {}

  /** Plays the seeds that the arguments name. */
  public static void main(String[] args) throws InterruptedException, IOException {
    SoakMain main = new SoakMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE);
    }
    System.exit(main.play() ? 0 : BROKEN);
  }

  private boolean play() throws InterruptedException, IOException {
    boolean whole = true;
    for (long seed = from; seed < from + seeds; seed++) {
      Path folder = Files.createDirectories(keep.resolve("seed-" + seed));
      Set<Fault.Kind> kinds = calm ? Set.of() : Fault.GENERATIONS.get(generation - 1);
      Soak.Result result =
          new Soak(new Soak.Order(seed, hosts, seconds * MS_PER_SECOND, kinds, folder)).call();
      System.out.println("seed " + seed + ": " + result.summary());
      result.broken().forEach(what -> System.out.println("  broken: " + what));
      whole &= result.broken().isEmpty();
    }
    return whole;
  }
}
