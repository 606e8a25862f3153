package org.hyssopswitch.settings.binding;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** The value of a record component whose field is missing; a component without it must be given. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface DefaultValue {

    /** The value, in YAML. */
    String value();
}
