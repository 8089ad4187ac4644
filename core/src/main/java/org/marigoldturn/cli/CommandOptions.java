package org.marigoldturn.cli;

import java.util.Set;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** All options of the command line. */
final class CommandOptions {
    static final String OPERATOR = "operator";
    static final String TOKEN = "token";
    static final String CA = "ca";
    static final String JSON = "json";
    static final String YES = "yes";
    static final String HELP = "help";
    static final String CHANGE_ID = "change-id";
    static final String IF_VERSION = "if-version";
    static final String AUTHOR = "author";
    static final String CONFIG = "config";
    static final String FORCE = "force";
    static final String DRY_RUN = "dry-run";
    static final String REASON = "reason";
    static final String LIMIT = "limit";

    /** Options that every command accepts. */
    static final Set<String> COMMON =
            Set.of(OPERATOR, TOKEN, CA, JSON, YES, HELP, CHANGE_ID, IF_VERSION, AUTHOR);

    private CommandOptions() {}

    static Options all() {
        return new Options()
                .addOption(option(OPERATOR, "URI", "operator port of a daemon; may be repeated"))
                .addOption(option(TOKEN, "TOKEN", "operator token"))
                .addOption(option(CA, "FILE", "PEM file of the certificates to trust for TLS"))
                .addOption(option(CHANGE_ID, "ID", "id of the change, applied only once"))
                .addOption(
                        option(
                                IF_VERSION,
                                "VERSION",
                                "reject the change if the settings have another version"))
                .addOption(option(AUTHOR, "NAME", "author shown in the settings history"))
                .addOption(option(CONFIG, "FILE", "configuration file of the daemon"))
                .addOption(option(REASON, "TEXT", "reason, shown by wave status"))
                .addOption(option(LIMIT, "COUNT", "maximum number of versions"))
                .addOption(null, JSON, false, "print JSON")
                .addOption("y", YES, false, "do not ask for confirmation")
                .addOption("h", HELP, false, "print help")
                .addOption(null, FORCE, false, "continue even if a budget would be exceeded")
                .addOption(null, DRY_RUN, false, "show the effect without changing anything");
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }
}
