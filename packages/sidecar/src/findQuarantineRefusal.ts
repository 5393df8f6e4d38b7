import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SidecarContext } from "./SidecarContext.js";

interface SuspectWork {
    digest: ContentDigest;
    isTrial?: boolean;
}

/**
 * Makes the quarantine checks, before work is queued and again before it starts. Two contents that a crash counts
 * against never run here at once: if the engine crashed, the second crash would count against the harmless one too,
 * and it would be refused everywhere, like the one that caused the crash. A trial passes, since its sender has already
 * counted it; while a trial waits or runs here, no other work passes.
 */
export function findQuarantineRefusal(context: SidecarContext, work: SuspectWork): ResultCode | undefined {
    const { guards, quarantine, suspects, trialReservation } = context;
    const { digest, isTrial } = work;
    if (isTrial === true) {
        return undefined;
    }
    if (!guards.trialAlone(!trialReservation.isReserved())) {
        return resultCodes.overloaded;
    }
    if (!guards.quarantine(quarantine.crashedVmCount(digest))) {
        return resultCodes.quarantined;
    }
    const isSuspect = (each: ContentDigest): boolean =>
        quarantine.crashedVmCount(each) > 0 || suspects.isSuspect(each);
    const isSuspectBeside = isSuspect(digest) && suspects.othersInFlight(digest).some(isSuspect);
    return guards.suspectsApart(isSuspectBeside) ? undefined : resultCodes.overloaded;
}
