//! Small fakes of the systems that galenayard meets: engines, plain services, the platform's log
//! and its instance list.
