import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Lease } from "@auburnarch/types/Lease";
import type { OwnerDocument } from "@auburnarch/types/OwnerDocument";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { z } from "zod";
import type { OwnerDirectory } from "./OwnerDirectory.js";

const ownerSchema = z.object({
    entry: z.string(),
    address: z.string(),
    fencing: z.number(),
});

interface OwnerDirectoryDeps {
    self: EntryRecord;
    get: (name: string) => SharedDocument | undefined;
    offer: (document: SharedDocument) => boolean;
}

/**
 * Creates the directory of owners, exchanged between entries as shared documents with the fencing number as version:
 * the announcement of a newer owner replaces that of an older one, regardless of the order of arrival. It only routes
 * calls; ownership itself is decided by the lease.
 */
export function createOwnerDirectory(deps: OwnerDirectoryDeps): OwnerDirectory {
    function announce(name: string, lease: Lease): void {
        const { entry, address } = deps.self;
        deps.offer({ name, version: lease.fencing, value: { entry, address, fencing: lease.fencing } });
    }

    function find(name: string): z.infer<typeof ownerSchema> | undefined {
        const parsed = ownerSchema.safeParse(deps.get(name)?.value);
        return parsed.success ? parsed.data : undefined;
    }

    return {
        announceJob: (job, lease) => announce(`owner/${job}`, lease),
        announceRange: (range, lease) => announce(`range/${range}`, lease),
        findJob: job => {
            const found = find(`owner/${job}`);
            return found === undefined ? undefined : { ...found, job } as OwnerDocument;
        },
        findRange: range => find(`range/${range}`)?.address,
    };
}
