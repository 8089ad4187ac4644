package org.marigoldturn.settings;

/** HTTP version and transport security used towards the targets of a service. */
public enum TargetProtocol {
    H1C("h1c"),
    H2C("h2c"),
    H1("h1"),
    H2("h2");

    private final String mUriScheme;

    TargetProtocol(String uriScheme) {
        mUriScheme = uriScheme;
    }

    /** Returns the scheme by which Armeria selects the session protocol. */
    public String uriScheme() {
        return mUriScheme;
    }
}
