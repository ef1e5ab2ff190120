import { initTRPC } from '@trpc/server';
import { isObject } from '@rosedeck/core';
import type {
  Answer,
  ConfigAnswer,
  ConfigPoll,
  ConfigPush,
  JsonObject,
  OwnerRequest,
} from '@rosedeck/core';
import { z } from 'zod';
import { needsChunks } from './answerOutbox';
import type { AnswerItem, AnswerOutbox } from './answerOutbox';

/** Handlers of the procedures that a daemon serves to its peers. */
export interface PeerHandlers {
  /** Runs a request as owner; resolves with its answer. */
  readonly run: (req: OwnerRequest) => Promise<Answer>;
  /** Returns this daemon's configuration revision, with the entries that the peer lacks. */
  readonly askConfig: (poll: ConfigPoll) => ConfigAnswer;
  /** Applies a change that another daemon accepted; returns the revision held afterwards. */
  readonly pushConfig: (push: ConfigPush) => number;
}

/** State of one connection of a peer. */
export interface PeerContext {
  readonly outbox: AnswerOutbox;
}

const position = z.object({ term: z.number(), index: z.number() });

const param = z.union([
  z.string(),
  z.number(),
  z.boolean(),
  z.null(),
  z.object({ base64: z.string() }),
]);

const variable = z.object({ name: z.string().regex(/^[a-z_]+$/), value: z.string() });

const ownerRequest = z.object({
  id: z.string(),
  entry: z.string(),
  group: z.string(),
  customer: z.string(),
  cls: z.string(),
  op: z.enum(['read', 'write', 'begin', 'statement', 'commit', 'rollback', 'abandon', 'outcome']),
  sql: z.string(),
  params: z.array(param).readonly().optional(),
  variables: z.array(variable).readonly().optional(),
  deadlineMs: z.number().positive(),
  minPosition: position.optional(),
  maxAgeMs: z.number().nonnegative().optional(),
  idempotent: z.boolean(),
  transaction: z.string().optional(),
  subject: z.string().optional(),
  tries: z.number().int().nonnegative(),
  forwards: z.number().int().nonnegative(),
});

const call = z.object({ call: z.number(), req: ownerRequest });

const configPoll = z.object({
  from: z.string(),
  revision: z.number().int().nonnegative(),
  leaving: z.boolean(),
});

const configPush = z.object({
  from: z.string(),
  entry: z.object({
    revision: z.number().int().positive(),
    id: z.string(),
    who: z.string(),
    at: z.string(),
    patch: z.custom<JsonObject>(isObject),
  }),
});

/** A request with the number that its answer carries; numbers are unique on a connection. */
export type Call = z.infer<typeof call>;

/**
 * Creates the tRPC router that a daemon serves to its peers. A request that is alone in its turn
 * of the event loop uses `run`. Several requests share one `submit`; their answers, and the chunks
 * of large answers, come through the `answers` subscription when ready, several in one item.
 */
export function createPeerRouter(handlers: PeerHandlers) {
  const trpc = initTRPC.context<PeerContext>().create();
  return trpc.router({
    run: trpc.procedure
      .input(call)
      .mutation(async ({ input, ctx }): Promise<AnswerItem | undefined> => {
        const answer = await handlers.run(input.req);
        if (!needsChunks(answer)) return { call: input.call, answer };
        ctx.outbox.push(input.call, answer);
        return undefined;
      }),
    submit: trpc.procedure.input(z.array(call)).mutation(({ input, ctx }) => {
      for (const submitted of input) {
        void handlers.run(submitted.req).then((answer) => {
          ctx.outbox.push(submitted.call, answer);
        });
      }
    }),
    askConfig: trpc.procedure.input(configPoll).mutation(({ input }) => handlers.askConfig(input)),
    pushConfig: trpc.procedure
      .input(configPush)
      .mutation(({ input }) => handlers.pushConfig(input)),
    answers: trpc.procedure.subscription(async function* ({ ctx, signal }) {
      const stop = (): void => {
        ctx.outbox.close();
      };
      signal?.addEventListener('abort', stop, { once: true });
      for (;;) {
        const items = await ctx.outbox.take();
        if (!items) return;
        yield items;
      }
    }),
  });
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
