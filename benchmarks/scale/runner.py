"""Runs the jobs of a scale run, each in a process of its own, within limits on memory, processes and time.

A run that does not fit the machine is refused before it starts. A run that is interrupted or out of time ends
its jobs and keeps the finished results."""

import importlib
import multiprocessing
import os
import signal
import time
import traceback
from multiprocessing import connection
from typing import NamedTuple

MOST_PROCESSES = 100
MEMORY_SHARE = 0.5  # share of the machine's memory
MOST_SECONDS = 600
END_WITHIN = 3.0  # seconds that a job's processes have to end after a signal
LOOK_EVERY = 0.5  # seconds between two checks of the deadline


class TooLarge(Exception):
    """The requested run does not fit the machine."""


class Finished(NamedTuple):
    """The results of all jobs."""

    outcomes: dict  # job name -> plan.Outcome
    failed: dict  # job name -> reason
    not_run: tuple  # job names
    stopped: str  # why the run stopped early, "" if it did not


def machine_memory():
    """Return the bytes of memory that the machine has."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def check_fits(jobs, at_once, memory=None):
    """Raise `TooLarge` if jobs would need too much when `at_once` of them run at a time."""
    memory = memory or machine_memory()
    allowed = round(MEMORY_SHARE * memory)
    for what, needs, most, unit, scale in (
        ("memory", [job.memory for job in jobs], allowed, "MB", 1_000_000),
        ("processes", [job.processes for job in jobs], MOST_PROCESSES - 1, "processes", 1),
    ):
        needed = sum(sorted(needs, reverse=True)[:at_once])
        if what == "processes":
            needed = max(needed, at_once)
        if needed > most:
            largest = max(jobs, key=lambda job: job.memory if what == "memory" else job.processes)
            raise TooLarge(
                f"this size does not fit: {at_once} at once need {needed // scale:,} {unit} and "
                f"{most // scale:,} are allowed (the largest is '{largest.name}')"
            )


def _play(job, pipe):
    """Run a job in its own process and process group; send the result through the pipe."""
    os.setsid()
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.alarm(MOST_SECONDS)  # ends the job even if the process that started it is gone
    try:
        pipe.send((True, getattr(importlib.import_module(job.module), job.function)(**job.arguments)))
    except BaseException as fault:
        pipe.send((False, f"{fault!r} at {traceback.format_tb(fault.__traceback__)[-1].strip()}"))


class Runner:
    """Runs jobs, `at_once` at a time. `stop(why)` may be called from a signal handler."""

    def __init__(self, jobs, at_once, seconds, progress):
        self.waiting, self.at_once, self.progress = list(jobs), at_once, progress
        self.deadline, self.total, self.stopped = time.monotonic() + seconds, len(self.waiting), ""
        self.running, self.outcomes, self.failed = {}, {}, {}
        self.context = multiprocessing.get_context("spawn")

    def stop(self, why):
        """Start no more jobs, and end the running ones."""
        self.stopped = self.stopped or why

    def run(self):
        """Run all jobs; return their results."""
        try:
            while (self.waiting or self.running) and not self.stopped:
                if time.monotonic() > self.deadline:
                    self.stop("out of time")
                    break
                self._fill()
                self._collect(connection.wait(list(self.running), LOOK_EVERY))
        finally:
            unfinished = [job.name for job, _ in self.running.values()]
            for pipe in list(self.running):
                self._end(pipe)
        return Finished(
            self.outcomes, self.failed, (*unfinished, *(job.name for job in self.waiting)), self.stopped
        )

    def _fill(self):
        while self.waiting and len(self.running) < self.at_once:
            job = self.waiting.pop(0)
            here, there = self.context.Pipe(duplex=False)
            process = self.context.Process(target=_play, args=(job, there))
            process.start()
            there.close()
            self.running[here] = (job, process)

    def _collect(self, ready):
        for pipe in ready:
            job, process = self.running[pipe]
            try:
                good, result = pipe.recv()
            except EOFError:
                process.join(END_WITHIN)
                good, result = False, f"its process ended with {process.exitcode}"
            (self.outcomes if good else self.failed)[job.name] = result
            self._end(pipe)
            done = len(self.outcomes) + len(self.failed)
            self.progress(f"[{done}/{self.total}] {job.name}" + ("" if good else f" FAILED: {result}"))

    def _end(self, pipe):
        """End a job's process and the processes that it started."""
        _, process = self.running.pop(pipe)
        pipe.close()
        for number in (signal.SIGTERM, signal.SIGKILL):
            try:
                os.killpg(process.pid, number)
            except ProcessLookupError:  # the process has no group of its own yet, or has ended
                process.terminate()
            process.join(END_WITHIN)
            if process.exitcode is not None:
                break
