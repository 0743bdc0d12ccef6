package org.toucanmast.runtime.request;

import java.util.Optional;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.core.stop.StopSchedule;

/** The planned stop of this VM, or that there is none; used on the request event loop. */
public final class StopState {
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private Optional<StopSchedule> schedule = Optional.empty();

  /** Begins the stop; a later call has no effect. */
  public void begin(StopSchedule newSchedule) {
    schedule = schedule.or(() -> Optional.of(newSchedule));
  }

  /**
   * Returns the phase of the stop, {@link StopPhase#SERVING} if there is none.
   *
   * @param now the present time, in nanoseconds
   */
  public StopPhase phaseAt(long now) {
    return schedule
        .map(planned -> planned.phaseAt(now / NANOSECONDS_PER_MILLISECOND))
        .orElse(StopPhase.SERVING);
  }

  /**
   * Returns how much time a call to an endpoint or to a peer has that is sent now, so that it ends
   * before all requests are answered; unlimited without a stop.
   *
   * @param now the present time, in nanoseconds
   * @return the time, in nanoseconds; not negative
   */
  public long timeForCall(long now) {
    return schedule
        .map(planned -> planned.timeForStatement(now / NANOSECONDS_PER_MILLISECOND))
        .map(milliseconds -> milliseconds * NANOSECONDS_PER_MILLISECOND)
        .orElse(Long.MAX_VALUE);
  }
}
