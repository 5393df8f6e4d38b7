import { defaultOwnerParts } from "@auburnarch/ownership/defaultOwnerParts";
import type { OwnerParts } from "@auburnarch/ownership/OwnerParts";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** The usual parts of an owner; `noteFencing` hears under which number it works, and undefined when it ends. */
export function createTrackedOwnerParts(onFencing: (fencing: FencingNumber | undefined) => void): OwnerParts {
    return {
        ...defaultOwnerParts,
        createDispatcher: dispatcherDeps => {
            onFencing(dispatcherDeps.fencing);
            const dispatcher = defaultOwnerParts.createDispatcher(dispatcherDeps);
            return {
                ...dispatcher,
                stop: () => {
                    onFencing(undefined);
                    return dispatcher.stop();
                },
            };
        },
    };
}
