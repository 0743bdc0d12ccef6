package org.toucanmast.runtime.ini;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.schema.Settings;

class SettingsFileTest {
  @TempDir private Path directory;
  private String validSettings;

  @BeforeEach
  void createValidSettings() throws IOException {
    Path file = Files.writeString(directory.resolve("any.pem"), "pem");
    validSettings =
        """
        [vm]
        name = vm-1
        data-centre = east
        [callers]
        address = 127.0.0.1:8080
        admin-address = 127.0.0.1:8081
        [platform]
        address = 127.0.0.1:9000
        [peers]
        address = 127.0.0.1:8082
        certificate-file = FILE
        private-key-file = FILE
        authority-file = FILE
        """
            .replace("FILE", file.toString());
  }

  private Settings read(String text) throws IOException, InvalidTextException {
    return SettingsFile.read(Files.writeString(directory.resolve("vm.ini"), text));
  }

  @Test
  void should_use_defaults_for_missing_keys() throws Exception {
    Settings settings = read(validSettings);

    assertThat(settings.getVm().getName()).isEqualTo("vm-1");
    assertThat(settings.getPeers().getHeartbeatInterval()).isEqualTo(200_000_000);
    assertThat(settings.getCallers().getMaximumRequestSize()).isEqualTo(65_536);
  }

  @Test
  void should_report_file_section_key_and_reason() {
    assertThatThrownBy(() -> read(validSettings.replace("name = vm-1", "nam = vm-1")))
        .isInstanceOf(InvalidTextException.class)
        .hasMessageContaining("vm.ini: [vm] nam: is not a known key")
        .hasMessageContaining("vm.ini: [vm] name: is missing");
  }

  @Test
  void should_reject_invalid_units_addresses_and_ranges() {
    assertThatThrownBy(() -> read(validSettings + "heartbeat-interval = 100\n"))
        .hasMessageContaining("[peers] heartbeat-interval: expected a duration with one of");
    assertThatThrownBy(() -> read(validSettings + "heartbeat-interval = 1h\n"))
        .hasMessageContaining("expected a value from 10ms to 5s but found '1h'");
    assertThatThrownBy(() -> read(validSettings.replace("127.0.0.1:8080", "here:8080")))
        .hasMessageContaining("[callers] address: expected an IP address and a port");
  }

  @Test
  void should_reject_a_watch_whose_silence_is_noticed_after_the_keys_are_outdated() {
    String slowWatch = "address = 127.0.0.1:9000\nwatch-wait = 30s";

    assertThatThrownBy(() -> read(validSettings.replace("address = 127.0.0.1:9000", slowWatch)))
        .isInstanceOf(InvalidTextException.class)
        .hasMessageContaining("[platform] watch-wait: expected less than 2000 ms")
        .hasMessageContaining("30000 ms");
  }

  @Test
  void should_reject_unknown_and_repeated_sections_and_keys() {
    assertThatThrownBy(() -> read(validSettings + "[extra]\na = b\n"))
        .hasMessageContaining("[extra]: is not a known section");
    assertThatThrownBy(() -> read(validSettings + "[vm]\nname = b\n"))
        .hasMessageContaining("[vm]: stands twice");
    assertThatThrownBy(() -> read(validSettings + "address = 127.0.0.1:1\n"))
        .hasMessageContaining("[peers] address: stands twice");
  }

  @Test
  void should_reject_missing_file() {
    assertThatThrownBy(() -> SettingsFile.read(directory.resolve("missing.ini")))
        .hasMessageContaining("missing.ini")
        .hasMessageContaining("cannot be read");
  }
}
