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

  /** Parses the configuration; empty if the content is not valid. */
  Optional<Catalog> catalog(JsonObject content);

  /** Parses an endpoint's entry; empty if it is not valid or the endpoint cannot be used. */
  Optional<EndpointEntry> endpoint(String name, JsonObject content);
}
