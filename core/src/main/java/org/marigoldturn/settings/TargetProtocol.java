package org.marigoldturn.settings;

/** HTTP version and transport security of the connections to the targets of a service. */
public enum TargetProtocol {
    H1C("h1c"),
    H2C("h2c"),
    H1("h1"),
    H2("h2");

    private final String mUriScheme;

    TargetProtocol(String uriScheme) {
        mUriScheme = uriScheme;
    }

    /** Returns the URI scheme from which Armeria derives the session protocol. */
    public String uriScheme() {
        return mUriScheme;
    }
}
