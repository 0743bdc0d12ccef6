package org.toucanmast.cli;

import com.google.protobuf.Descriptors.FieldDescriptor;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.core.text.SectionReader;
import org.toucanmast.runtime.ini.SettingsFile;
import org.toucanmast.schema.Key;
import org.toucanmast.schema.Settings;
import org.toucanmast.schema.TextProto;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code settings} command: validates a VM's settings file and lists all settings keys. */
@Command(
    name = "settings",
    mixinStandardHelpOptions = true,
    description = "Check a settings file of a VM and list all settings keys.")
final class SettingsCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Validate a settings file.")
  int check(@Parameters(paramLabel = "FILE") Path file) throws InvalidTextException {
    Settings settings = SettingsFile.read(file);
    spec.commandLine()
        .getOut()
        .println(file + ": valid settings of VM " + settings.getVm().getName());
    return ExitCodes.OK;
  }

  @Command(
      name = "keys",
      mixinStandardHelpOptions = true,
      description = "List all keys with kind, default and limits.")
  int keys(@Option(names = "--output", defaultValue = "table") OutputFormat output) {
    List<List<String>> rows = new ArrayList<>();
    for (FieldDescriptor section : Settings.getDescriptor().getFields()) {
      for (FieldDescriptor field : section.getMessageType().getFields()) {
        Key key = field.getOptions().getExtension(TextProto.key);
        rows.add(
            List.of(
                section.getName(),
                SectionReader.keyName(field),
                key.getKind().name().toLowerCase(Locale.ROOT),
                key.getRequired() ? "required" : key.getDefaultValue(),
                key.getMinimum(),
                key.getMaximum()));
      }
    }
    List<String> columns = List.of("section", "key", "kind", "default", "minimum", "maximum");
    spec.commandLine().getOut().print(output.render(columns, rows));
    return ExitCodes.OK;
  }
}
