package org.toucanmast.runtime.session;

import org.toucanmast.core.mirror.ChangePromises;
import org.toucanmast.core.mirror.PropagationTiming;
import org.toucanmast.core.mirror.Retention;
import org.toucanmast.runtime.port.PlatformModel;
import org.toucanmast.runtime.store.KindMirror;

/**
 * The kinds of the store's objects that a VM mirrors, with how soon changes must have arrived.
 *
 * @param model names the platform's kinds
 * @param promises how soon acknowledged changes must have taken effect
 */
record MirroredKinds(PlatformModel model, ChangePromises promises) {
  /** Time in which every VM learns of the others' entries; no promise to callers rests on it. */
  private static final long MEMBERS_LIMIT_IN_MILLISECONDS = 16_000;

  KindMirror.Kind configuration() {
    return platformKind(
        model.configurationKind(), promises.configurationTiming(), Retention.NEWEST);
  }

  KindMirror.Kind endpoints() {
    return platformKind(model.endpointKind(), promises.drainingTiming(), Retention.REWRITTEN);
  }

  KindMirror.Kind takenOut() {
    return platformKind(model.takenOutKind(), promises.takenOutTiming(), Retention.REWRITTEN);
  }

  KindMirror.Kind members() {
    return new KindMirror.Kind(
        FleetRegistry.KIND,
        PropagationTiming.within(MEMBERS_LIMIT_IN_MILLISECONDS),
        Retention.MEMBERS,
        FleetRegistry::contentVersion);
  }

  private KindMirror.Kind platformKind(String name, PropagationTiming timing, Retention retention) {
    return new KindMirror.Kind(
        name, timing, retention, object -> model.contentVersion(name, object.content()));
  }
}
