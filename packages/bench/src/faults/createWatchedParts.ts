import { defaultOwnerParts } from "@auburnarch/ownership/defaultOwnerParts";
import type { OwnerParts } from "@auburnarch/ownership/OwnerParts";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** The usual parts of an owner; `noteFencing` hears under which number it works, and undefined when it ends. */
export function createWatchedParts(noteFencing: (fencing: FencingNumber | undefined) => void): OwnerParts {
    return {
        ...defaultOwnerParts,
        createDispatcher: dispatcherDeps => {
            noteFencing(dispatcherDeps.fencing);
            const dispatcher = defaultOwnerParts.createDispatcher(dispatcherDeps);
            return {
                ...dispatcher,
                stop: () => {
                    noteFencing(undefined);
                    return dispatcher.stop();
                },
            };
        },
    };
}
