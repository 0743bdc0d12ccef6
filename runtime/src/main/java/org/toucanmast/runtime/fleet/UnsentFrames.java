package org.toucanmast.runtime.fleet;

import java.util.ArrayList;
import java.util.List;
import org.toucanmast.core.link.OutputBudget;
import org.toucanmast.schema.FleetFrame;

/** The frames that wait until a link is open, within the budget of the VM. */
final class UnsentFrames {
  private final OutputBudget budget;
  private final List<FleetFrame> frames = new ArrayList<>();
  private long bytes;

  UnsentFrames(OutputBudget budget) {
    this.budget = budget;
  }

  /** Returns whether the budget admits another frame now. */
  boolean admits(FleetFrame frame) {
    return budget.admits(frame.getSerializedSize(), bytes);
  }

  void add(FleetFrame frame) {
    frames.add(frame);
    bytes += frame.getSerializedSize();
    budget.onWritten(frame.getSerializedSize());
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  /** Removes and returns all frames, in the order in which they were added. */
  List<FleetFrame> removeAll() {
    List<FleetFrame> removed = List.copyOf(frames);
    frames.clear();
    budget.onSent(bytes);
    bytes = 0;
    return removed;
  }
}
