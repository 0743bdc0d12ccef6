package org.toucanmast.standin.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.toucanmast.standin.database.EndpointSettings;

/** A sample deployment: its configuration template, data centres and endpoint settings. */
public enum Deployment {
  /** Opticians' clinics: three data centres, 3 slots and 20 connections for each endpoint. */
  LENTES("lentes.ini", List.of("medellin", "rionegro", "bello"), settings(3, 20, 10)),
  /** Transport timetables: four data centres, 2 slots and 30 connections for each endpoint. */
  ASSOCIATION(
      "association.ini", List.of("accra", "tema", "kasoa", "koforidua"), settings(2, 30, 25)),
  /** Customers of both deployments on three database groups, for the quickstart. */
  QUICKSTART("quickstart.ini", List.of("east", "centre", "west"), settings(3, 20, 10));

  private static final long SERVICE_TIME_IN_MICROSECONDS = 500;
  private static final long REPLICATION_LAG_IN_MILLISECONDS = 5;

  private final String resource;
  private final List<String> dataCentres;
  private final EndpointSettings endpointSettings;

  Deployment(String resource, List<String> dataCentres, EndpointSettings endpointSettings) {
    this.resource = resource;
    this.dataCentres = dataCentres;
    this.endpointSettings = endpointSettings;
  }

  private static EndpointSettings settings(int slots, int connections, long connectMilliseconds) {
    return new EndpointSettings(
        slots,
        connections,
        connectMilliseconds,
        SERVICE_TIME_IN_MICROSECONDS,
        REPLICATION_LAG_IN_MILLISECONDS);
  }

  /** Returns the names of the data centres in which VMs run. */
  public List<String> dataCentres() {
    return dataCentres;
  }

  /** Returns the settings of its endpoints. */
  public EndpointSettings endpointSettings() {
    return endpointSettings;
  }

  /** Returns the configuration as INI, with placeholders for addresses and keys. */
  public String template() {
    try (InputStream in = Deployment.class.getResourceAsStream("/deployments/" + resource)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException("the resource " + resource + " cannot be read", e);
    }
  }
}
