// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpTimeoutException;
import java.util.Arrays;
import java.util.List;
import org.fawndrum.errors.BadCsvException;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.errors.FawndrumException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Main class of the command line: finds the command named by the arguments and runs it. */
public final class Main {
  private static final int WIDTH = 100;

  private Main() {}

  /** Runs one command and exits with its {@link ExitCode}. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /** Runs one command that prints to the given streams, and returns its exit code. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    CommandCatalog.Entry entry = CommandCatalog.find(args);
    if (entry == null) {
      boolean helpRequested = args.length > 0 && List.of("help", "--help", "-h").contains(args[0]);
      printCommands(helpRequested ? out : err);
      return helpRequested ? ExitCode.DONE : ExitCode.USAGE;
    }
    Command command = entry.factory().get();
    command.printTo(out, err);
    String[] rest = Arrays.copyOfRange(args, entry.name().split(" ").length, args.length);
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(WIDTH));
    try {
      parser.parseArgument(rest);
      if (command.help) {
        printHelp(entry, parser, out);
        return ExitCode.DONE;
      }
      return command.call();
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      printHelp(entry, parser, err);
      return ExitCode.USAGE;
    } catch (BadSettingsException e) {
      e.faults().forEach(fault -> err.println(fault));
      return ExitCode.USAGE;
    } catch (BadCsvException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (FawndrumException e) {
      err.println(e.getMessage());
      return ExitCode.FAILED;
    } catch (IOException e) {
      return reportFailure(e, err);
    } catch (UncheckedIOException e) {
      // A streamed answer broke off while its lines were read.
      return reportFailure(e.getCause(), err);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  private static int reportFailure(IOException failure, PrintStream err) {
    boolean unreachable =
        failure instanceof ConnectException || failure instanceof HttpConnectTimeoutException;
    if (unreachable) {
      err.println("the daemon is unreachable; set its operator address with --daemon");
      return ExitCode.UNREACHABLE;
    }
    if (failure instanceof HttpTimeoutException) {
      err.println("the daemon did not answer in time");
      return ExitCode.UNKNOWN;
    }
    err.println(failure.toString());
    return ExitCode.FAILED;
  }

  private static void printHelp(CommandCatalog.Entry entry, CmdLineParser parser, PrintStream to) {
    to.println("fawndrum " + entry.name() + ": " + entry.summary());
    parser.printUsage(to);
  }

  private static void printCommands(PrintStream to) {
    to.println("fawndrum COMMAND [--help]");
    for (CommandCatalog.Entry entry : CommandCatalog.ALL) {
      to.printf("  %-16s %s%n", entry.name(), entry.summary());
    }
    to.println("exit codes: 0 done, 1 refused or failed, 2 wrong usage or input,");
    to.println("  3 publication lost, 4 outcome not known yet, 5 daemon unreachable");
  }
}
