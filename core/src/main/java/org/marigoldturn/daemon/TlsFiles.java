package org.marigoldturn.daemon;

import com.linecorp.armeria.common.TlsKeyPair;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.util.List;

/** Reads certificates and keys from PEM files; each error names the setting and the file. */
public final class TlsFiles {
    private TlsFiles() {}

    /**
     * Reads the certificate chain and key of a server.
     *
     * @throws ConfigException if a file can't be read or its content is invalid
     */
    static TlsKeyPair keyPair(EntryConfig.TlsConfig tls) {
        String certificateSetting = "tls.certificateFile";
        String keySetting = "tls.keyFile";
        List<X509Certificate> chain = certificates(certificateSetting, tls.certificateFile());
        byte[] key = read(keySetting, tls.keyFile());
        byte[] certificate = read(certificateSetting, tls.certificateFile());
        TlsKeyPair pair;
        try {
            pair =
                    TlsKeyPair.of(
                            new ByteArrayInputStream(key), new ByteArrayInputStream(certificate));
        } catch (IllegalArgumentException e) {
            throw invalid(keySetting, tls.keyFile(), "an unencrypted private key in PEM", e);
        }
        if (!matches(pair.privateKey(), chain.get(0))) {
            throw invalid(keySetting, tls.keyFile(), "the key of " + certificateSetting, null);
        }
        return pair;
    }

    /**
     * Returns whether the key belongs to the certificate, checked by a signature. The TLS library
     * would report a mismatch without its reason.
     */
    private static boolean matches(PrivateKey key, X509Certificate certificate) {
        if (!key.getAlgorithm().equals(certificate.getPublicKey().getAlgorithm())) {
            return false;
        }
        String algorithm =
                switch (key.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSA";
                    default -> key.getAlgorithm();
                };
        byte[] message = {1, 2, 3};
        try {
            Signature signature = Signature.getInstance(algorithm);
            signature.initSign(key);
            signature.update(message);
            byte[] signed = signature.sign();
            signature.initVerify(certificate.getPublicKey());
            signature.update(message);
            return signature.verify(signed);
        } catch (GeneralSecurityException e) {
            throw new ConfigException("tls: keys of type " + algorithm + " are not supported", e);
        }
    }

    /**
     * Reads at least one certificate.
     *
     * @param setting name of the setting or option that gives the file
     * @throws ConfigException if the file can't be read or has no certificate
     */
    public static List<X509Certificate> certificates(String setting, Path file) {
        byte[] content = read(setting, file);
        try {
            List<X509Certificate> certificates =
                    CertificateFactory.getInstance("X.509")
                            .generateCertificates(new ByteArrayInputStream(content))
                            .stream()
                            .map(X509Certificate.class::cast)
                            .toList();
            if (!certificates.isEmpty()) {
                return certificates;
            }
        } catch (CertificateException e) {
            throw invalid(setting, file, "a certificate in PEM", e);
        }
        throw invalid(setting, file, "a certificate in PEM", null);
    }

    private static byte[] read(String setting, Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw new ConfigException(setting + ": file " + file + " does not exist", e);
        } catch (IOException e) {
            throw new ConfigException(setting + ": file " + file + " can't be read", e);
        }
    }

    private static ConfigException invalid(
            String setting, Path file, String expected, Exception cause) {
        return new ConfigException(setting + ": expected " + expected + " in file " + file, cause);
    }
}
