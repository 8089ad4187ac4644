package org.marigoldturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import org.marigoldturn.admission.KeyAuthenticator;

/** The {@code key} commands. The secret is generated here, and only its salted hash is sent. */
final class KeyCommands implements CommandGroup {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public List<Command> commands() {
        return List.of(
                new Command(
                        "key list",
                        List.of("TEAM"),
                        List.of(),
                        "lists the keys of a team",
                        "marigoldturn key list club",
                        call ->
                                call.printRows(
                                        call.client().get(path(call)), "id", "createdAtMillis")),
                new Command(
                        "key issue",
                        List.of("TEAM", "KEY-ID"),
                        List.of(),
                        "issues a key and prints it, this one time only",
                        "marigoldturn key issue club k2",
                        KeyCommands::issue),
                new Command(
                        "key revoke",
                        List.of("TEAM", "KEY-ID"),
                        List.of(),
                        "revokes a key",
                        "marigoldturn key revoke club k1",
                        call ->
                                call.change(
                                        HttpMethod.DELETE,
                                        path(call) + "/" + call.pathArgument(1))));
    }

    private static ExitCode issue(Invocation call) {
        KeyAuthenticator.IssuedKey key =
                new KeyAuthenticator()
                        .issue(
                                call.argument(0),
                                call.argument(1),
                                new SecureRandom(),
                                System.currentTimeMillis());
        ObjectNode body = JSON.valueToTree(key.stored());
        JsonNode response =
                call.client()
                        .send(
                                HttpMethod.PUT,
                                path(call) + "/" + call.pathArgument(1),
                                body.toString().getBytes(StandardCharsets.UTF_8));
        if (call.has(CommandOptions.JSON)) {
            ((ObjectNode) response).put("key", key.presentedKey());
            return call.printChange(response);
        }
        call.out().println("key: " + key.presentedKey());
        return call.printChange(response);
    }

    private static String path(Invocation call) {
        return "/v1/teams/" + call.pathArgument(0) + "/keys";
    }
}
