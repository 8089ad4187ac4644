package org.marigoldturn.standins;

import com.linecorp.armeria.common.TlsKeyPair;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/** A self-signed certificate for 127.0.0.1 in PEM files, made with the keytool of the JDK. */
record TestCertificate(Path certificate, Path key) {
    private static final String PASSWORD = "changeit";
    private static final Base64.Encoder PEM = Base64.getMimeEncoder(64, new byte[] {'\n'});

    static TestCertificate create(Path directory, String name)
            throws IOException, InterruptedException, GeneralSecurityException {
        Path store = directory.resolve(name + ".p12");
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                name,
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=" + name,
                                "-ext",
                                "SAN=IP:127.0.0.1",
                                "-validity",
                                "30",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .redirectOutput(directory.resolve("keytool.log").toFile())
                        .start();
        if (keytool.waitFor() != 0) {
            throw new IOException("keytool failed; see keytool.log in " + directory);
        }
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, PASSWORD.toCharArray());
        }
        return new TestCertificate(
                write(
                        directory.resolve(name + ".crt"),
                        "CERTIFICATE",
                        keys.getCertificate(name).getEncoded()),
                write(
                        directory.resolve(name + ".key"),
                        "PRIVATE KEY",
                        keys.getKey(name, PASSWORD.toCharArray()).getEncoded()));
    }

    TlsKeyPair keyPair() {
        return TlsKeyPair.of(key.toFile(), certificate.toFile());
    }

    private static Path write(Path file, String type, byte[] content) throws IOException {
        String body = PEM.encodeToString(content);
        return Files.writeString(
                file, "-----BEGIN %s-----%n%s%n-----END %s-----%n".formatted(type, body, type));
    }
}
