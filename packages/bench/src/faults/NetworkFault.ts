/**
 * What becomes of one exchange: no connection; the request is lost; it arrives after the sender has given up; it
 * arrives twice; it is carried out but the answer is lost.
 */
export type NetworkFault = "noConnection" | "requestLost" | "requestLate" | "requestTwice" | "answerLost";
