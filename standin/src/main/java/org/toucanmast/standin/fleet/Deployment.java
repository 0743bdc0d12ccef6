package org.toucanmast.standin.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.toucanmast.standin.database.EndpointSettings;

/** The sample deployments. */
public enum Deployment {
  /** Spectacles: three data centres, 3 slots and 20 connections for each endpoint. */
  LENTES("lentes.ini", List.of("medellin", "rionegro", "bello"), slots(3, 20, 10)),
  /** Timetables: four data centres, 2 slots and 30 connections for each endpoint. */
  ASSOCIATION("association.ini", List.of("accra", "tema", "kasoa", "koforidua"), slots(2, 30, 25)),
  /** Customers of both on three groups, for a first look. */
  QUICKSTART("quickstart.ini", List.of("east", "centre", "west"), slots(3, 20, 10));

  private static final long SERVICE_IN_MICROSECONDS = 500;
  private static final long LAG_IN_MILLISECONDS = 5;

  private final String resource;
  private final List<String> dataCentres;
  private final EndpointSettings endpoints;

  Deployment(String resource, List<String> dataCentres, EndpointSettings endpoints) {
    this.resource = resource;
    this.dataCentres = dataCentres;
    this.endpoints = endpoints;
  }

  private static EndpointSettings slots(int slots, int connections, long connectMilliseconds) {
    return new EndpointSettings(
        slots, connections, connectMilliseconds, SERVICE_IN_MICROSECONDS, LAG_IN_MILLISECONDS);
  }

  /** Returns the data centres in which VMs run. */
  public List<String> dataCentres() {
    return dataCentres;
  }

  /** Returns how its endpoints behave. */
  public EndpointSettings endpoints() {
    return endpoints;
  }

  /** Returns the configuration as INI, with places for addresses and keys. */
  public String template() {
    try (InputStream in = Deployment.class.getResourceAsStream("/deployments/" + resource)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new IllegalStateException("the resource " + resource + " cannot be read", e);
    }
  }
}
