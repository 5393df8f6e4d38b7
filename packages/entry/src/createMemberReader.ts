import type { EntryView } from "@auburnarch/membership/EntryView";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { OperatorMember } from "@auburnarch/types/OperatorMember";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ManifestView } from "./ManifestView.js";
import type { PeerCall } from "./PeerCall.js";

const describeTimeoutMs = 1_500;
const noVersion = 0 as ConfigVersion;

interface MemberReaderDeps {
    self: EntryRecord;
    manifest: ManifestView;
    listEntries: () => EntryView[];
    listSamplers: () => SamplerView[];
    callPeer: PeerCall;
}

interface MemberReader {
    /** Describes this entry and the samplers that report to it. */
    describeHere(): OperatorMember[];
    /** Describes every process of the fleet that any entry knows, each by the newest information. */
    readAll(): Promise<OperatorMember[]>;
}

function describeSampler({ report, reportAgeMs, suspected }: SamplerView): OperatorMember {
    return {
        name: report.sampler,
        role: "sidecar",
        vm: report.vm,
        address: report.address,
        failureDomain: report.failureDomain,
        region: report.region,
        state: suspected ? "suspected" : report.state,
        configVersion: report.configVersion,
        ageMs: Math.round(reportAgeMs),
    };
}

function describeRecord(record: EntryRecord, state: OperatorMember["state"], ageMs: number): OperatorMember {
    return {
        name: record.entry,
        role: "entry",
        vm: record.vm,
        address: record.address,
        failureDomain: record.failureDomain,
        region: record.region,
        state,
        configVersion: noVersion,
        ageMs: Math.round(ageMs),
    };
}

const isNewer = (member: OperatorMember, than: OperatorMember | undefined): boolean =>
    than === undefined
    || member.configVersion > than.configVersion
    || (member.configVersion === than.configVersion && member.ageMs < than.ageMs);

/** Creates the reader of the fleet's members and their active manifest versions; it asks every known entry once. */
export function createMemberReader(deps: MemberReaderDeps): MemberReader {
    function describeHere(): OperatorMember[] {
        const self = describeRecord(deps.self, "ready", 0);
        const version = deps.manifest()?.version ?? noVersion;
        return [{ ...self, configVersion: version }, ...deps.listSamplers().map(describeSampler)];
    }

    async function fetchMembers(view: EntryView): Promise<OperatorMember[]> {
        const presentState = view.suspected ? "suspected" : "ready";
        const known = describeRecord(view.record, view.leaving ? "leaving" : presentState, view.ageMs);
        const pendingMembers = deps.callPeer(view.record.address, "describe", {}, describeTimeoutMs);
        const received = await pendingMembers.catch(() => []) as OperatorMember[];
        return [
            known,
            ...received.map(each => each.name === known.name ? { ...each, state: known.state } : each),
        ];
    }

    return {
        describeHere,
        readAll: async () => {
            const received = await Promise.all(deps.listEntries().map(fetchMembers));
            const byName = new Map<string, OperatorMember>();
            for (const member of [describeHere(), ...received].flat()) {
                const key = `${member.role}/${member.name}`;
                if (isNewer(member, byName.get(key))) {
                    byName.set(key, member);
                }
            }
            return [...byName.values()].sort((a, b) =>
                a.role.localeCompare(b.role) || a.name.localeCompare(b.name)
            );
        },
    };
}
