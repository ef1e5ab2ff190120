import type { Millis } from '@rosedeck/shared';
import type { Sim } from './sim';

/** A simulated process. While it is frozen, jobs are kept in its backlog until it resumes. */
export interface Process {
  isUp: boolean;
  isFrozen: boolean;
  resumedAt: Millis;
  /** Increases with each kill; jobs scheduled for an earlier incarnation never run. */
  incarnation: number;
  backlog: (() => void)[];
}

/** Simulated network between processes, with latency, partitions and delayed messages. */
export type Network = ReturnType<typeof createNetwork>;

const MIN_DELAY_MS = 0.4;
const MAX_DELAY_MS = 0.8;
/** Longest time from the end of a cut until the transport sends again. */
const MAX_RESEND_DELAY_MS = 200;

/** Creates a network without processes. */
export function createNetwork(sim: Sim) {
  const processes = new Map<string, Process>();
  /** Messages held back by cuts, by link; delivered after the cut, like those a transport resends. */
  const cuts = new Map<string, (() => void)[]>();
  /** Additional delay of a share of the messages. */
  let extra = { share: 0, maxMs: 0 };

  const find = (id: string): Process => {
    const found = processes.get(id);
    if (!found) throw new Error(`unknown process ${id}`);
    return found;
  };

  const deliver = (to: Process, incarnation: number, job: () => void): void => {
    if (!to.isUp || to.incarnation !== incarnation) return;
    if (to.isFrozen) to.backlog.push(job);
    else job();
  };

  const drawDelay = (): Millis => {
    const isLate = extra.share > 0 && sim.random() < extra.share;
    return sim.drawBetween(MIN_DELAY_MS, MAX_DELAY_MS) + (isLate ? sim.random() * extra.maxMs : 0);
  };

  /** Runs `job` at `to` after one network delay, unless `to` is killed before. */
  const send = (from: string, to: string, job: () => void): void => {
    const receiver = find(to);
    const { incarnation } = receiver;
    const arrive = (): void => {
      const heldMessages = cuts.get(`${from}>${to}`);
      if (heldMessages) heldMessages.push(arrive);
      else deliver(receiver, incarnation, job);
    };
    sim.schedule(drawDelay(), arrive);
  };

  /** Runs `job` at a process after `ms`, unless the process is killed before. */
  const schedule = (id: string, ms: Millis, job: () => void): void => {
    const process = find(id);
    const { incarnation } = process;
    sim.schedule(ms, () => {
      deliver(process, incarnation, job);
    });
  };

  /** Sends a request and waits for the reply; `onReply` receives undefined after the timeout. */
  const call = <T>(
    from: string,
    to: string,
    timeoutMs: Millis,
    handle: () => T,
    onReply: (reply: T | undefined) => void,
  ): void => {
    let isFinished = false;
    const finish = (reply?: T): void => {
      if (!isFinished) onReply(reply);
      isFinished = true;
    };
    schedule(from, find(to).isUp ? timeoutMs : 1, finish);
    send(from, to, () => {
      const reply = handle();
      send(to, from, () => {
        finish(reply);
      });
    });
  };

  const heal = (link: string): void => {
    const heldMessages = cuts.get(link) ?? [];
    cuts.delete(link);
    sim.schedule(sim.random() * MAX_RESEND_DELAY_MS, () => {
      for (const arrive of heldMessages) arrive();
    });
  };

  return {
    processes,
    find,
    send,
    schedule,
    call,
    add: (id: string): void => {
      processes.set(id, { isUp: true, isFrozen: false, resumedAt: 0, incarnation: 0, backlog: [] });
    },
    isCut: (from: string, to: string): boolean => cuts.has(`${from}>${to}`),
    /** Cuts the links between `from` and others, both ways; returns a function that ends the cut. */
    cut: (from: string, others: readonly string[]): (() => void) => {
      const links = others.flatMap((to) => [`${from}>${to}`, `${to}>${from}`]);
      for (const link of links) if (!cuts.has(link)) cuts.set(link, []);
      return () => {
        links.forEach(heal);
      };
    },
    /** Delays a share of the messages, from 0 to 1, by `maxMs` at most. */
    setExtraDelay: (share: number, maxMs: Millis): void => {
      extra = { share, maxMs };
    },
    kill: (id: string): void => {
      const process = find(id);
      Object.assign(process, {
        isUp: false,
        isFrozen: false,
        backlog: [],
        incarnation: process.incarnation + 1,
      });
    },
    /** Freezes a process; returns a function that resumes it. */
    freeze: (id: string): (() => void) => {
      const process = find(id);
      process.isFrozen = true;
      return () => {
        const backlog = process.backlog;
        Object.assign(process, { isFrozen: false, resumedAt: sim.clock.now(), backlog: [] });
        for (const job of backlog) deliver(process, process.incarnation, job);
      };
    },
  };
}
