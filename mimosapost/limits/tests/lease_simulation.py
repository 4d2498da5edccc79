"""Lease tables connected by a simulated network, for tests of the limit invariant."""

from __future__ import annotations

import heapq
from collections import deque
from random import Random

from mimosapost.limits.leases import LeaseTable

LEASE_US = 1_000_000
DEADLINE_US = 2_000_000
HEARTBEAT_US = 500_000
STEP_US = 100_000


class SimulatedInstance:
    """One incarnation of a seat with its own clock, which always uses its whole allowance."""

    def __init__(self, seat, incarnation, ceiling, simulated_us, rng):
        # The clock rates of two instances differ by less than the 5% margin of the lease table.
        # The offsets are unrelated.
        self.rate = rng.uniform(0.977, 1.023)
        self.offset_us = rng.randrange(10**9)
        self.simulated_us = simulated_us
        self.table = LeaseTable(
            seat, incarnation, ceiling, self.read_clock(simulated_us), LEASE_US, DEADLINE_US
        )
        self.heartbeat_due_us = simulated_us
        self.paused_until_us = 0

    def read_clock(self, simulated_us):
        return self.offset_us + int(simulated_us * self.rate)


class LeaseSimulation:
    """All seats, the messages between them and their requests in flight."""

    def __init__(self, ceiling, limits, seed):
        self.rng = Random(seed)
        self.ceiling = ceiling
        self.limits = limits
        self.now_us = 0
        self.started_incarnations = 0
        self.processes = {}
        self.messages = []
        self.blocked = set()
        self.loss = self.duplication = 0.0
        self.max_delay_us = 50_000
        # (key, seat, incarnation) -> end times of the requests in flight
        self.flight_ends = {}
        self.state_counts = {"lease": 0, "reuse": 0, "withheld": 0}
        for seat in range(ceiling):
            self.start(seat)

    def start(self, seat):
        self.started_incarnations += 1
        self.processes[seat] = SimulatedInstance(
            seat, self.started_incarnations, self.ceiling, self.now_us, self.rng
        )

    def send_message(self, source, target, message):
        if (source, target) in self.blocked or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            due_us = self.now_us + self.rng.randrange(self.max_delay_us)
            entry = (due_us, self.rng.random(), source, target, message)
            heapq.heappush(self.messages, entry)

    def step(self):
        self.now_us += STEP_US
        while self.messages and self.messages[0][0] <= self.now_us:
            _, _, source, target, message = heapq.heappop(self.messages)
            process = self.processes.get(target)
            if process is None:
                continue
            if process.paused_until_us > self.now_us:
                # The message waits in the socket buffer of the paused process.
                entry = (process.paused_until_us, self.rng.random(), source, target, message)
                heapq.heappush(self.messages, entry)
                continue
            clock_us = process.read_clock(self.now_us)
            if hasattr(message, "witness_seat"):
                process.table.record_answer(message, clock_us)
            else:
                answer = process.table.answer_heartbeat(message, clock_us)
                self.send_message(target, source, answer)
        for seat, process in self.processes.items():
            if process.paused_until_us <= self.now_us:
                self.run_instance(seat, process)

    def run_instance(self, seat, process):
        clock_us = process.read_clock(self.now_us)
        if process.heartbeat_due_us <= self.now_us:
            process.heartbeat_due_us = self.now_us + HEARTBEAT_US
            heartbeat = process.table.create_heartbeat(clock_us)
            for witness in process.table.list_other_witnesses():
                self.send_message(seat, witness, heartbeat)
        status = process.table.describe(clock_us)
        self.state_counts["lease"] += status.lease_left_us > 0
        self.state_counts["reuse"] += bool(status.reused)
        self.state_counts["withheld"] += bool(status.withheld)
        end_us = self.now_us + int(DEADLINE_US / process.rate)
        for key, limit in self.limits.items():
            allowance = process.table.get_allowance(limit, key, clock_us)
            ends = self.flight_ends.setdefault((key, seat, process.table.incarnation), deque())
            while ends and ends[0] <= self.now_us:
                ends.popleft()
            ends.extend([end_us] * (allowance - len(ends)))

    def count_in_flight(self, key):
        total = 0
        for (other, _, _), ends in self.flight_ends.items():
            if other == key:
                # The end times of one incarnation ascend, because its clock rate is fixed.
                while ends and ends[0] <= self.now_us:
                    ends.popleft()
                total += len(ends)
        return total

    def sum_allowances(self, key):
        return sum(
            process.table.get_allowance(self.limits[key], key, process.read_clock(self.now_us))
            for process in self.processes.values()
        )

    def inject_faults(self):
        """Draw faults for the next phase: partitions, pauses, losses and replacements.

        A "deaf" seat receives no messages, a "mute" one sends none, an "isolated" one neither.
        """
        rng = self.rng
        seats = range(self.ceiling)
        self.blocked.clear()
        kind = rng.choice(["calm", "calm", "isolate", "deaf", "mute", "split", "pairs", "lost"])
        if kind in ("isolate", "deaf", "mute"):
            alone = rng.randrange(self.ceiling)
            others = [seat for seat in seats if seat != alone]
            if kind != "mute":
                self.blocked |= {(other, alone) for other in others}
            if kind != "deaf":
                self.blocked |= {(alone, other) for other in others}
        elif kind == "split":
            side = {seat for seat in seats if rng.random() < 0.5}
            self.blocked = {(a, b) for a in seats for b in seats if (a in side) != (b in side)}
        elif kind == "pairs":
            self.blocked = {(a, b) for a in seats for b in seats if rng.random() < 0.3}
        elif kind == "lost":
            self.processes.pop(rng.randrange(self.ceiling), None)
        self.loss = rng.choice([0.0, 0.0, 0.1, 0.4])
        self.duplication = rng.choice([0.0, 0.3])
        self.max_delay_us = rng.choice([20_000, 50_000, 400_000, 900_000, 3_000_000])
        for seat in seats:
            if seat not in self.processes:
                if rng.random() < 0.6:
                    self.start(seat)
            elif rng.random() < 0.1:
                self.start(seat)
            elif rng.random() < 0.1:
                pause_us = rng.choice([700_000, 3_000_000, 9_000_000])
                self.processes[seat].paused_until_us = self.now_us + pause_us
