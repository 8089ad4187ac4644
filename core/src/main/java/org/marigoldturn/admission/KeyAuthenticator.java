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
 * Matches presented keys with the salted hashes in the settings, in constant time. Stateless.
 *
 * <p>A key has the form {@code team.secret}.
 */
public final class KeyAuthenticator {
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;

    /** A new key: the secret for the team and the hash for the settings. */
    public record IssuedKey(String presentedKey, TeamKey stored) {
        /** Omits the presented key, which must not appear in logs. */
        @Override
        public String toString() {
            return "IssuedKey[stored=" + stored + "]";
        }
    }

    /** A presented key that is in force; the key id allows the check to be repeated. */
    public record Authenticated(TeamSettings team, String keyId) {}

    /** Returns the team for which the presented key is in force. */
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

    /** Returns whether a key that was authenticated earlier is still in force. */
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
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }
}
