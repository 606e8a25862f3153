package org.hyssopswitch.settings;

import java.nio.file.Path;

/**
 * The certificate for callers.
 *
 * @param certificateFile certificate chain in PEM
 * @param keyFile private key in PEM (PKCS #8)
 */
public record TlsSettings(Path certificateFile, Path keyFile) {}
