/** Body of the requests that crash samplers. */
export const crashInducingContent = "crash-inducing";
