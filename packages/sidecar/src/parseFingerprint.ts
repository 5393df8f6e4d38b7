import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Parses `policy@version`; undefined for anything else. The policy itself may contain `@`. */
export function parseFingerprint(
    fingerprint: string,
): { policy: PolicyId; version: WeightVersion; } | undefined {
    const at = fingerprint.lastIndexOf("@");
    const digits = fingerprint.slice(at + 1);
    if (at < 1 || !/^\d{1,15}$/.test(digits)) {
        return undefined;
    }
    return { policy: fingerprint.slice(0, at) as PolicyId, version: Number(digits) as WeightVersion };
}
