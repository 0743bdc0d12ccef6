package org.toucanmast.standin.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process has used, as Linux counts it.
 *
 * @param cpuSeconds processor time since its start
 * @param residentMebibytes memory that it holds now
 */
record ProcessUsage(double cpuSeconds, double residentMebibytes) {
  private static final double TICKS_PER_SECOND = 100;
  private static final double KIBIBYTES_PER_MEBIBYTE = 1024;
  private static final int USER_TIME_FIELD = 11;
  private static final int SYSTEM_TIME_FIELD = 12;

  static ProcessUsage of(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double ticks =
        Double.parseDouble(fields[USER_TIME_FIELD]) + Double.parseDouble(fields[SYSTEM_TIME_FIELD]);
    double resident =
        Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
            .filter(line -> line.startsWith("VmRSS:"))
            .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
            .findFirst()
            .orElse(0);
    return new ProcessUsage(ticks / TICKS_PER_SECOND, resident / KIBIBYTES_PER_MEBIBYTE);
  }
}
