package org.toucanmast.runtime.ini;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.core.text.SectionReader;
import org.toucanmast.schema.PlatformSettings;
import org.toucanmast.schema.Settings;

/**
 * Reads the settings file of a VM.
 *
 * <p>Example: {@code Settings settings = SettingsFile.read(Path.of("vm.ini"))}.
 */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Reads and validates a settings file.
   *
   * @throws InvalidTextException when the file cannot be read or has invalid settings; it lists all
   *     unknown sections and keys, missing keys and invalid values
   */
  public static Settings read(Path file) throws InvalidTextException {
    Map<String, Map<String, String>> sections = IniFile.read(file);
    SectionReader reader = new SectionReader(file.toString());
    Settings.Builder settings = Settings.newBuilder();
    for (String name : sections.keySet()) {
      if (Settings.getDescriptor().findFieldByName(name) == null) {
        reader.report(name, "", "is not a known section; expected one of " + knownSections());
      }
    }
    for (FieldDescriptor section : Settings.getDescriptor().getFields()) {
      Message schema = settings.getFieldBuilder(section).getDefaultInstanceForType();
      Map<String, String> values = sections.getOrDefault(section.getName(), Map.of());
      settings.setField(section, reader.read(section.getName(), values, schema));
    }
    reader.throwIfInvalid();
    checkWatchWait(settings.getPlatform(), reader);
    reader.throwIfInvalid();
    return settings.build();
  }

  /**
   * A watch that the platform leaves without an answer fails after its wait and a call's timeout;
   * keys must not be outdated by then.
   */
  private static void checkWatchWait(PlatformSettings platform, SectionReader reader) {
    long limit = platform.getKeyFreshnessLimit() - platform.getCallTimeout();
    if (platform.getWatchWait() >= limit) {
      reader.report(
          "platform",
          "watch-wait",
          "expected less than "
              + TimeUnit.NANOSECONDS.toMillis(limit)
              + " ms (key-freshness-limit less call-timeout) but was "
              + TimeUnit.NANOSECONDS.toMillis(platform.getWatchWait())
              + " ms");
    }
  }

  private static String knownSections() {
    return SectionReader.keysOf(Settings.getDescriptor()).toString();
  }
}
