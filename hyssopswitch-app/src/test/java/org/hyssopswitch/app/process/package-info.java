package org.hyssopswitch.app.process;
