import { X509Certificate } from "node:crypto";
import { createSecureContext } from "node:tls";
import type { TrustMaterial } from "./TrustMaterial.js";

/** Checks that the three belong together and gives the end of the certificate's validity; throws if they do not. */
export function checkMaterial(material: TrustMaterial): Date {
    createSecureContext(material);
    // Without one no peer could be told from a stranger, and TLS would fall back on the public authorities.
    new X509Certificate(material.ca);
    return new Date(new X509Certificate(material.cert).validTo);
}
