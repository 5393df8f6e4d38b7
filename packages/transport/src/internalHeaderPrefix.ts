/** Headers with this prefix belong to the system and never pass from one side to the other. */
export const internalHeaderPrefix = "x-auburnarch-";
