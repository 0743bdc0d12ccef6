package org.toucanmast.standin.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resource usage of a process as reported by Linux in {@code /proc}.
 *
 * @param cpuSeconds the user and system time since the start of the process, in seconds
 * @param residentMebibytes the resident memory, in MiB; 0 if it is not reported
 */
record ProcessUsage(double cpuSeconds, double residentMebibytes) {
  private static final double CLOCK_TICKS_PER_SECOND = 100;
  private static final double KIBIBYTES_PER_MEBIBYTE = 1024;
  // Indexes count from the state field, the first one after the parenthesised command name.
  private static final int USER_TIME_INDEX = 11;
  private static final int SYSTEM_TIME_INDEX = 12;

  /**
   * Reads the current usage of a process.
   *
   * @throws IOException if the process does not exist or its files cannot be read
   */
  static ProcessUsage of(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double ticks =
        Double.parseDouble(fields[USER_TIME_INDEX]) + Double.parseDouble(fields[SYSTEM_TIME_INDEX]);
    double resident =
        Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
            .filter(line -> line.startsWith("VmRSS:"))
            .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
            .findFirst()
            .orElse(0);
    return new ProcessUsage(ticks / CLOCK_TICKS_PER_SECOND, resident / KIBIBYTES_PER_MEBIBYTE);
  }
}
