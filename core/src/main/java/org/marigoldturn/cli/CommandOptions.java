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
                .addOption(option(CA, "FILE", "certificates by which daemons are trusted, PEM"))
                .addOption(option(CHANGE_ID, "ID", "id of the change, for safe repetition"))
                .addOption(option(IF_VERSION, "VERSION", "change only this settings version"))
                .addOption(option(AUTHOR, "NAME", "author that the history names"))
                .addOption(option(CONFIG, "FILE", "configuration of the daemon"))
                .addOption(option(REASON, "TEXT", "reason, shown by wave status"))
                .addOption(option(LIMIT, "COUNT", "largest number of lines"))
                .addOption(null, JSON, false, "print JSON")
                .addOption("y", YES, false, "do not ask for confirmation")
                .addOption("h", HELP, false, "print help")
                .addOption(null, FORCE, false, "go on although a budget would be exceeded")
                .addOption(null, DRY_RUN, false, "show the effect without a change");
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }
}
