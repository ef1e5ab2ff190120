import type { Command, Core, CoreEvent, CoreLogEvent } from '@rosedeck/core';
import type { Clock, Millis } from '@rosedeck/shared';

/** Drives a core: an event or a timer schedules a tick, and ticks run one at a time. */
export interface CoreLoop {
  post: (event: CoreEvent) => void;
  stop: () => void;
}

/** Creates the loop of a core; `perform` runs each command, `observe` receives each log event. */
export function createCoreLoop(
  core: Core,
  clock: Clock,
  perform: (command: Command) => void,
  observe: (event: CoreLogEvent) => void,
  observeTick: (tookMs: Millis) => void = () => undefined,
): CoreLoop {
  let isTickScheduled = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let timerAt = Infinity;

  const runTick = (): void => {
    isTickScheduled = false;
    if (isStopped) return;
    const startedAt = clock.now();
    const { commands, logEvents } = core.tick();
    observeTick(clock.now() - startedAt);
    for (const event of logEvents) observe(event);
    for (const command of commands) perform(command);
    scheduleTimer();
  };

  const scheduleTick = (): void => {
    if (isTickScheduled) return;
    isTickScheduled = true;
    setImmediate(runTick);
  };

  const scheduleTimer = (): void => {
    const at = core.nextTickAt();
    if (at === undefined || at >= timerAt) return;
    clearTimeout(timer);
    timerAt = at;
    timer = setTimeout(
      () => {
        timerAt = Infinity;
        scheduleTick();
      },
      Math.max(0, Math.ceil(at - clock.now())),
    );
  };

  return {
    post: (event) => {
      if (isStopped) return;
      core.post(event);
      scheduleTick();
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
