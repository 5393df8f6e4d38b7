import type { Owner } from "@auburnarch/ownership/Owner";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";
import { expect, test } from "vitest";
import { createJobOwnership } from "./createJobOwnership.js";
import { createTestContext } from "./testing/createTestContext.js";

const forecast = { job: "forecast", priority: 5 } as unknown as JobManifest;
const entries = ["entry-1", "entry-2", "entry-3"] as EntryId[];

/** Starts the job ownership of each entry; they share one lease per job, held by at most one entry at a time. */
function createFixture() {
    const context = createTestContext();
    const holders = new Map<string, { self: EntryId; lost: AbortController; }>();
    const events: string[] = [];
    let jobs = [forecast];
    let fencing = 0;
    let startOwner = async (): Promise<void> => undefined;

    function leaseOf(self: EntryId, key: string): Lease | undefined {
        if (holders.has(key)) {
            return undefined;
        }
        const lost = new AbortController();
        holders.set(key, { self, lost });
        const release = async (): Promise<void> => {
            if (holders.get(key)?.lost === lost) {
                holders.delete(key);
            }
        };
        return {
            key,
            fencing: ++fencing,
            isHeld: () => true,
            lost: lost.signal,
            release,
        } as unknown as Lease;
    }

    const start = (self: EntryId) => {
        const ended = new AbortController();
        const ownership = createJobOwnership({
            ...context,
            self,
            listEntries: () => entries,
            listJobs: () => jobs,
            tryAcquireLease: async key => leaseOf(self, key),
            createOwner: async (job, lease) => {
                await startOwner();
                events.push(`${self} owns ${job.job} ${lease.fencing}`);
                return {
                    ended: ended.signal,
                    updateJob: (changed: JobManifest) =>
                        events.push(`${self} updated to ${changed.priority}`),
                    stop: async () => void events.push(`${self} stopped`),
                } as unknown as Owner;
            },
            announce: (job, lease) => events.push(`${self} announced ${job} ${lease.fencing}`),
        });
        ownership.start();
        return { ...ownership, self, ended };
    };
    const running = entries.map(start);
    const owners = () => running.filter(each => each.get(forecast.job) !== undefined);
    return {
        ...context,
        events,
        holders,
        running,
        owners,
        setJobs: (next: JobManifest[]) => {
            jobs = next;
        },
        setStart: (next: () => Promise<void>) => {
            startOwner = next;
        },
    };
}

test("one of two standbys owns a job, and the other takes over when the first releases it", async () => {
    const { clock, owners, events } = createFixture();
    await clock.advance(3_000);
    const [first, ...more] = owners();
    expect(more).toEqual([]);
    await first!.release();
    await clock.advance(3_000);
    const [second] = owners();
    expect(second!.self).not.toBe(first!.self);
    expect(events).toMatchInlineSnapshot(`
      [
        "entry-2 owns forecast 1",
        "entry-2 announced forecast 1",
        "entry-2 stopped",
        "entry-3 owns forecast 2",
        "entry-3 announced forecast 2",
      ]
    `);
});

test("a job gets a new owner after its lease is lost or its owner ends", async () => {
    // Guards against a job without an owner although all entries are healthy.
    const { clock, owners, holders, events } = createFixture();
    await clock.advance(3_000);
    const [first] = owners();
    const { lost } = holders.get("leases/job/forecast")!;
    holders.delete("leases/job/forecast");
    lost.abort();
    expect(first!.get(forecast.job)).toBeUndefined();
    await clock.advance(3_000);
    const [second] = owners();
    second!.ended.abort();
    expect(second!.get(forecast.job)).toBeUndefined();
    expect(events.filter(line => line.endsWith("stopped"))).toHaveLength(2);
});

test("a job gets a new owner if its lease is lost while the owner starts", async () => {
    // Guards against a job that makes no progress any more, because the abort of the lease was missed.
    const { clock, owners, holders, events, setStart } = createFixture();
    setStart(async () => {
        setStart(async () => undefined);
        const { lost } = holders.get("leases/job/forecast")!;
        holders.delete("leases/job/forecast");
        lost.abort();
    });
    await clock.advance(5_000);
    expect(owners()).toHaveLength(1);
    expect(owners()[0]!.get(forecast.job)!.lease.fencing).toBe(2);
    expect(events.filter(line => line.endsWith("stopped"))).toHaveLength(1);
});

test("a shutdown releases the lease of an owner that is still starting", async () => {
    // Guards against a job that waits for the expiry of its lease after a planned restart.
    const { clock, owners, running, holders, setStart } = createFixture();
    setStart(() => clock.sleep(1_000));
    await clock.advance(500);
    await Promise.all(running.map(each => each.release()));
    await clock.advance(3_000);
    expect(owners()).toEqual([]);
    expect([...holders]).toEqual([]);
});

test("the owner is updated when its job changes and stopped when the job is removed from the manifest", async () => {
    const { clock, owners, holders, events, setJobs } = createFixture();
    await clock.advance(3_000);
    setJobs([{ ...forecast, priority: 9 }]);
    await clock.advance(2_000);
    setJobs([]);
    await clock.advance(2_000);
    expect(events.slice(2).map(line => line.replace(/^\S+ /u, ""))).toEqual(["updated to 9", "stopped"]);
    expect(owners()).toEqual([]);
    expect(holders.size).toBe(0);
});
