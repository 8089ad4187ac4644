package org.marigoldturn.admission;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.TeamKey;
import org.marigoldturn.settings.TeamSettings;

/**
 * Authenticates teams by comparing presented keys with the salted hashes in the settings, in
 * constant time, and issues keys. Stateless.
 *
 * <p>A key has the form {@code team.secret}.
 */
public final class KeyAuthenticator {
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;

    /** A new key: the key that the team presents and its hash for the settings. */
    public record IssuedKey(String presentedKey, TeamKey stored) {
        /** Omits the presented key, which must not appear in logs. */
        @Override
        public String toString() {
            return "IssuedKey[stored=" + stored + "]";
        }
    }

    /**
     * The team and the id of an authenticated key; {@link #isInForce} checks by the id whether the
     * key has been removed since.
     */
    public record Authenticated(TeamSettings team, String keyId) {}

    /** Returns the team of the presented key, or empty if the settings contain no such key. */
    public Optional<Authenticated> authenticate(FleetSettings settings, String presentedKey) {
        int dot = presentedKey.indexOf('.');
        if (dot < 0) {
            return Optional.empty();
        }
        TeamSettings team = settings.teams().get(presentedKey.substring(0, dot));
        if (team == null) {
            return Optional.empty();
        }
        String secret = presentedKey.substring(dot + 1);
        String matching = null;
        for (TeamKey key : team.keys()) {
            byte[] expected = HexFormat.of().parseHex(key.hashHex());
            if (MessageDigest.isEqual(expected, hash(key.saltHex(), secret))) {
                matching = key.id();
            }
        }
        return Optional.ofNullable(matching).map(id -> new Authenticated(team, id));
    }

    /** Returns whether the settings still contain a key that was authenticated earlier. */
    public boolean isInForce(FleetSettings settings, String teamName, String keyId) {
        TeamSettings team = settings.teams().get(teamName);
        return team != null && team.keys().stream().anyMatch(key -> key.id().equals(keyId));
    }

    /** Creates a key for a team. */
    public IssuedKey issue(String team, String keyId, SecureRandom random, long nowMillis) {
        String secret = HexFormat.of().formatHex(randomBytes(random, SECRET_BYTES));
        String salt = HexFormat.of().formatHex(randomBytes(random, SALT_BYTES));
        String hash = HexFormat.of().formatHex(hash(salt, secret));
        return new IssuedKey(team + "." + secret, new TeamKey(keyId, salt, hash, nowMillis));
    }

    private static byte[] randomBytes(SecureRandom random, int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] hash(String saltHex, String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(HexFormat.of().parseHex(saltHex));
            return digest.digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "the Java runtime lacks SHA-256, which every Java platform must have", e);
        }
    }
}
