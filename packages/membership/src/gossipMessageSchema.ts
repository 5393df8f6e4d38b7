import { z } from "zod";

const maxRows = 256;
const name = z.string().min(1).max(64);
const record = z.strictObject({
    entry: name,
    vm: name,
    address: z.string().min(1).max(256),
    failureDomain: name,
    region: name,
});
const beat = z.strictObject({
    entry: name,
    generation: z.number().min(0),
    counter: z.int().min(0),
    leaving: z.boolean().optional(),
    suspected: z.boolean().optional(),
});

/** Schema of a `GossipMessage` received from another process. */
export const gossipMessageSchema = z.strictObject({
    from: name,
    beats: z.array(beat).max(maxRows),
    records: z.array(z.strictObject({ record, generation: z.number().min(0) })).max(maxRows),
    wanted: z.array(name).max(maxRows),
    probe: z.string().max(256).optional(),
    reached: z.boolean().optional(),
});
