package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.mirror.ContentVersion;

/** Kinds, names and format of the store objects in which the platform describes itself. */
public interface PlatformModel {
  /** Returns the kind of the object that holds the configuration. */
  String configurationKind();

  /** Returns the name of the object that holds the configuration. */
  String configurationName();

  /** Returns the kind of the objects that describe endpoints. */
  String endpointKind();

  /** Returns the kind of the objects that name the data centres that are taken out. */
  String takenOutKind();

  /**
   * Returns the version that the writer of an object of the platform's kinds put into its content;
   * empty if it has none.
   */
  Optional<ContentVersion> contentVersion(String kind, JsonObject content);

  /**
   * Parses the configuration.
   *
   * @param content the content of the object; null if it has none that can be read
   * @throws InvalidEntryException if the content is not a valid configuration
   */
  Catalog catalog(JsonObject content) throws InvalidEntryException;

  /**
   * Parses an endpoint's entry. Any writer may leave one in the store, so that a returned entry is
   * checked completely: it can be placed and connected to without further checks.
   *
   * @param content the content of the object; null if it has none that can be read
   * @throws InvalidEntryException if the entry names no endpoint that can be used
   */
  EndpointEntry endpoint(String name, JsonObject content) throws InvalidEntryException;
}
