//! Small fakes of engine, plain service and platform with fault switches.
