package org.toucanmast.cli;

import java.nio.file.Path;
import org.toucanmast.cli.ConfigurationEditor.Edited;
import org.toucanmast.core.configuration.ConfigurationCompiler;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.ConfigurationText;
import org.toucanmast.schema.ConfigurationDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows and replaces the whole configuration. */
@Command(
    name = "configuration",
    mixinStandardHelpOptions = true,
    description = "Show, check and apply the configuration of the fleet.")
final class ConfigurationCommand {
  @Spec private CommandSpec spec;

  @Command(name = "show", mixinStandardHelpOptions = true, description = "Print it as INI or JSON.")
  int show(
      @Mixin PlatformOptions platform,
      @Option(names = "--output", defaultValue = "table") OutputFormat output)
      throws CommandException {
    ConfigurationDocument document = platform.run(editor -> new ConfigurationEditor(editor).read());
    String text =
        output == OutputFormat.JSON
            ? ConfigurationText.toJson(document).encodePrettily() + System.lineSeparator()
            : ConfigurationText.toIni(document);
    spec.commandLine().getOut().print(text);
    return ExitCodes.OK;
  }

  @Command(name = "check", mixinStandardHelpOptions = true, description = "Check an INI file.")
  int check(@Parameters(paramLabel = "FILE") Path file) throws InvalidTextException {
    ConfigurationCompiler.compile(ConfigurationText.readIni(file), 1, file.toString());
    spec.commandLine().getOut().println(file + ": configuration is valid");
    return ExitCodes.OK;
  }

  @Command(
      name = "apply",
      mixinStandardHelpOptions = true,
      description = "Replace the configuration by an INI file; refused whole if anything is wrong.")
  int apply(
      @Mixin PlatformOptions platform,
      @Parameters(paramLabel = "FILE") Path file,
      @Option(names = "--dry-run", description = "Only print the difference.") boolean dryRun)
      throws CommandException, InvalidTextException {
    ConfigurationDocument document = ConfigurationText.readIni(file);
    ConfigurationCompiler.compile(document, 1, file.toString());
    Edited edited =
        platform.run(
            editor -> new ConfigurationEditor(editor).editOnce(before -> document, dryRun));
    edited.difference().forEach(line -> spec.commandLine().getOut().println(line));
    String what = dryRun ? "not changed, still revision " : "configuration revision ";
    spec.commandLine().getOut().println(what + edited.revision());
    return ExitCodes.OK;
  }
}
