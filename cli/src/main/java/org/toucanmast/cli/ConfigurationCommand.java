package org.toucanmast.cli;

import java.nio.file.Path;
import org.toucanmast.cli.ConfigurationEditor.EditResult;
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

/** The {@code configuration} command: shows, checks and replaces the fleet configuration. */
@Command(
    name = "configuration",
    mixinStandardHelpOptions = true,
    description = "Show, check and apply the configuration of the fleet.")
final class ConfigurationCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Print the configuration as INI or JSON.")
  int show(
      @Mixin PlatformOptions platform,
      @Option(names = "--output", defaultValue = "table") OutputFormat output)
      throws CommandException, InvalidTextException {
    ConfigurationDocument document = platform.run(editor -> new ConfigurationEditor(editor).read());
    String text =
        output == OutputFormat.JSON
            ? ConfigurationText.toJson(document).encodePrettily() + System.lineSeparator()
            : ConfigurationText.toIni(document);
    spec.commandLine().getOut().print(text);
    return ExitCodes.OK;
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Validate an INI file without applying it.")
  int check(@Parameters(paramLabel = "FILE") Path file) throws InvalidTextException {
    ConfigurationCompiler.compile(ConfigurationText.readIni(file), 1, file.toString());
    spec.commandLine().getOut().println(file + ": configuration is valid");
    return ExitCodes.OK;
  }

  @Command(
      name = "apply",
      mixinStandardHelpOptions = true,
      description =
          "Replace the whole configuration by an INI file; an invalid file changes nothing.")
  int apply(
      @Mixin PlatformOptions platform,
      @Parameters(paramLabel = "FILE") Path file,
      @Option(names = "--dry-run", description = "Print the difference without applying it.")
          boolean dryRun)
      throws CommandException, InvalidTextException {
    ConfigurationDocument document = ConfigurationText.readIni(file);
    ConfigurationCompiler.compile(document, 1, file.toString());
    EditResult result =
        platform.run(
            editor ->
                new ConfigurationEditor(editor).editWithoutRetry(current -> document, dryRun));
    result.difference().forEach(line -> spec.commandLine().getOut().println(line));
    String label = dryRun ? "not changed, still revision " : "configuration revision ";
    spec.commandLine().getOut().println(label + result.revision());
    return ExitCodes.OK;
  }
}
