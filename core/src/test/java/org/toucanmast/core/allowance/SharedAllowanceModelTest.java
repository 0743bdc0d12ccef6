package org.toucanmast.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.EpochAdoption;

/**
 * Simulates the lenders and holders of several VMs under pauses, network partitions, lost, late and
 * duplicate messages, restarts and changes of epoch. Guards against VMs that together grant more
 * tokens in any time window than a single bucket would.
 */
class SharedAllowanceModelTest {
  private static final long MILLISECOND = 1_000_000;
  private static final long LEASE_DURATION = 600 * MILLISECOND;
  private static final long LEASE_BOUND = 660 * MILLISECOND;
  private static final long HEARTBEAT_INTERVAL = 100 * MILLISECOND;
  private static final long SUSPICION_TIMEOUT = 500 * MILLISECOND;
  private static final Allowance ALLOWANCE = new Allowance(300, 12);
  private static final String CUSTOMER = "bench";

  private record Message(int from, int to, long deliverAt, Heartbeat heartbeat) {}

  private record Heartbeat(
      long incarnation,
      long sentAt,
      long echoed,
      long echoedIncarnation,
      long epoch,
      long version,
      long acknowledged,
      boolean active,
      LendingView view) {}

  private static final class Peer {
    private long incarnation = -1;
    private Heartbeat newest;
    private long heardAt;
  }

  /** A simulated VM, whose clock has a random offset. */
  private final class Vm {
    private final String name;
    private final int number;
    private final long clockOffset;
    private final long incarnation;
    private final ShareLender lender = new ShareLender(LEASE_BOUND);
    private final AllowanceHolder holder;
    private final EpochAdoption gate;
    private final Map<Integer, Peer> peers = new HashMap<>();
    private long pausedUntil;
    private long nextHeartbeat;

    private Vm(int number, long now) {
      this.number = number;
      this.name = "vm-" + number;
      this.clockOffset = random.nextInt(1_000_000) * MILLISECOND;
      this.incarnation = now;
      this.holder = new AllowanceHolder(name, 0);
      this.gate = new EpochAdoption(name, LEASE_BOUND, clock(now));
      this.nextHeartbeat = now;
    }

    private long clock(long now) {
      return now + clockOffset;
    }

    private void heartbeat(long now) {
      long clock = clock(now);
      gate.onEpoch(epoch, clock);
      Epoch adopted = gate.adopted(clock);
      SortedSet<String> skipped = new TreeSet<>();
      for (String member : adopted.members()) {
        int other = Integer.parseInt(member.substring(3));
        Peer peer = peers.get(other);
        boolean live =
            other == number
                || (peer != null
                    && peer.newest != null
                    && clock - peer.heardAt <= SUSPICION_TIMEOUT);
        if (!live) {
          skipped.add(member);
        }
      }
      lender.setWantedView(new LendingView(adopted, skipped), clock);
      boolean owns = gate.mayUseShare(clock) && lender.active().epoch().members().contains(name);
      if (owns && lender.active().candidates().contains(name)) {
        holder.onLease(
            name,
            new AllowanceHolder.Lease(
                clock + LEASE_DURATION, lender.active().fraction(), lender.active()),
            clock);
      } else {
        holder.onLeaseWithdrawn(name, clock);
      }
      for (int other = 0; other < vms.length; other++) {
        if (other != number) {
          send(other, owns, now);
        }
      }
    }

    private void send(int other, boolean owns, long now) {
      Peer peer = peers.computeIfAbsent(other, key -> new Peer());
      boolean lends = owns && lender.lendsTo("vm-" + other);
      long echoed = peer.newest == null ? 0 : peer.newest.sentAt();
      if (lends && echoed != 0) {
        lender.onLeaseRenewed("vm-" + other, peer.heardAt);
      }
      Heartbeat heartbeat =
          new Heartbeat(
              incarnation,
              clock(now),
              echoed,
              peer.incarnation,
              lender.active().epoch().number(),
              lender.version(),
              peer.newest == null ? 0 : peer.newest.version(),
              lends,
              lender.active());
      transmit(number, other, heartbeat, now);
    }

    private void receive(int from, Heartbeat heartbeat, long now) {
      long clock = clock(now);
      Peer peer = peers.computeIfAbsent(from, key -> new Peer());
      String name = "vm-" + from;
      if (heartbeat.incarnation() < peer.incarnation) {
        return;
      }
      if (heartbeat.incarnation() > peer.incarnation) {
        peer.incarnation = heartbeat.incarnation();
        peer.newest = null;
        lender.onPeerRestarted(name);
        holder.onLeaseWithdrawn(name, clock);
      }
      if (peer.newest != null && heartbeat.sentAt() <= peer.newest.sentAt()) {
        return;
      }
      peer.newest = heartbeat;
      peer.heardAt = clock;
      boolean echoesThisIncarnation = heartbeat.echoedIncarnation() == incarnation;
      if (echoesThisIncarnation) {
        lender.onAcknowledged(name, heartbeat.acknowledged());
      }
      gate.onPeerAdopted(name, heartbeat.epoch());
      if (!heartbeat.active()) {
        holder.onLeaseWithdrawn(name, clock);
      } else if (echoesThisIncarnation && heartbeat.echoed() != 0 && heartbeat.echoed() <= clock) {
        holder.onLease(
            name,
            new AllowanceHolder.Lease(
                heartbeat.echoed() + LEASE_DURATION, heartbeat.view().fraction(), heartbeat.view()),
            clock);
      }
      lender.applyWantedView(clock);
    }
  }

  private Random random;
  private Vm[] vms;
  private Epoch epoch;
  private boolean[][] partitioned;
  private final List<Message> network = new ArrayList<>();
  private final Deque<Long> grantTimes = new ArrayDeque<>();
  private long totalGranted;
  private boolean hasDemand;
  private long demandToggleAt;

  private void transmit(int from, int to, Heartbeat heartbeat, long now) {
    if (partitioned[from][to] || random.nextInt(20) == 0) {
      return;
    }
    long delay = random.nextInt(10) == 0 ? random.nextInt(900) : 1 + random.nextInt(3);
    network.add(new Message(from, to, now + delay * MILLISECOND, heartbeat));
    if (random.nextInt(20) == 0) {
      network.add(
          new Message(from, to, now + (delay + random.nextInt(400)) * MILLISECOND, heartbeat));
    }
  }

  private static SortedSet<String> names(int count) {
    SortedSet<String> names = new TreeSet<>();
    for (int number = 0; number < count; number++) {
      names.add("vm-" + number);
    }
    return names;
  }

  @Property(tries = 60, seed = "20261204")
  void should_never_grant_more_tokens_than_a_single_bucket(
      @ForAll int seed, @ForAll @IntRange(min = 2, max = 5) int count) {
    start(seed, count);

    long end = 20_000 * MILLISECOND;
    for (long now = 0; now < end; now += MILLISECOND) {
      if (now >= demandToggleAt) {
        hasDemand = !hasDemand;
        demandToggleAt = now + random.nextInt(hasDemand ? 900 : 500) * MILLISECOND;
      }
      injectFault(now);
      deliver(now);
      for (Vm vm : vms) {
        if (now >= vm.pausedUntil) {
          serve(vm, now);
        }
      }
    }

    assertThat(totalGranted).as("tokens granted during the run").isPositive();
  }

  private void start(int seed, int count) {
    random = new Random(seed);
    network.clear();
    grantTimes.clear();
    totalGranted = 0;
    hasDemand = false;
    demandToggleAt = 0;
    epoch = new Epoch(1, names(count));
    vms = new Vm[count];
    partitioned = new boolean[count][count];
    for (int number = 0; number < count; number++) {
      vms[number] = new Vm(number, 0);
    }
  }

  private void injectFault(long now) {
    if (random.nextInt(400) != 0) {
      return;
    }
    int affected = random.nextInt(vms.length);
    switch (random.nextInt(7)) {
      case 0 -> vms[affected].pausedUntil = now + random.nextInt(2_000) * MILLISECOND;
      case 1 -> partitioned[affected][random.nextInt(vms.length)] = true;
      case 2 -> partitioned = new boolean[vms.length][vms.length];
      case 3 -> {
        vms[affected] = new Vm(affected, now);
        vms[affected].pausedUntil = now + random.nextInt(150) * MILLISECOND;
      }
      case 4 -> isolate(affected);
      case 5 -> {
        int other = random.nextInt(vms.length);
        partitioned[affected][other] = true;
        partitioned[other][affected] = true;
      }
      default -> changeEpoch(now);
    }
  }

  private void isolate(int affected) {
    for (int other = 0; other < vms.length; other++) {
      partitioned[affected][other] = true;
      partitioned[other][affected] = true;
    }
  }

  /** Removes a VM that has just stopped from the epoch, or adds all removed ones again. */
  private void changeEpoch(long now) {
    SortedSet<String> members = new TreeSet<>(epoch.members());
    if (members.size() < vms.length) {
      members = names(vms.length);
    } else if (members.size() > 1) {
      int stopped = random.nextInt(vms.length);
      vms[stopped] = new Vm(stopped, now);
      vms[stopped].pausedUntil = now + 500 * MILLISECOND;
      members.remove("vm-" + stopped);
    }
    epoch = new Epoch(epoch.number() + 1, members);
  }

  private void deliver(long now) {
    List<Message> due = network.stream().filter(each -> each.deliverAt() <= now).toList();
    network.removeIf(each -> each.deliverAt() <= now && now >= vms[each.to()].pausedUntil);
    for (Message message : due) {
      if (now >= vms[message.to()].pausedUntil && !partitioned[message.from()][message.to()]) {
        vms[message.to()].receive(message.from(), message.heartbeat(), now);
      }
    }
  }

  private void serve(Vm vm, long now) {
    if (now >= vm.nextHeartbeat) {
      vm.heartbeat(now);
      vm.nextHeartbeat = now + HEARTBEAT_INTERVAL;
    }
    int wanted = hasDemand ? 20 : 0;
    int count = vm.holder.take(CUSTOMER, ALLOWANCE, wanted, vm.clock(now));
    for (int token = 0; token < count; token++) {
      grantTimes.addLast(now);
      totalGranted++;
    }
    checkWindows(now);
  }

  private void checkWindows(long now) {
    int count = 0;
    for (long at : (Iterable<Long>) grantTimes::descendingIterator) {
      count++;
      double seconds = (now - at) / 1e9;
      assertThat((double) count)
          .as("tokens in a window of %s s", seconds)
          .isLessThanOrEqualTo(ALLOWANCE.burst() + ALLOWANCE.rate() * seconds + 1e-6);
      if (seconds > 2) {
        return;
      }
    }
  }
}
