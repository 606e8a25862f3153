package org.hyssopswitch.load;

/** Whose session it is. */
record SessionIdentity(String account, String database, int number) {}
