import { defaultOwnerParts } from "@auburnarch/ownership/defaultOwnerParts";
import type { OwnerParts } from "@auburnarch/ownership/OwnerParts";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** Creates the default parts of an owner; `onFencing` receives its fencing number, and undefined when it stops. */
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
